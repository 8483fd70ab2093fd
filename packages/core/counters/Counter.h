/** Lock-free counter for use by several threads. */
#pragma once

#include <atomic>
#include <cstdint>

namespace boragetrack::core::counters {

/** Counts events of one kind; the count never decreases. */
class Counter
{
public:
    /** Adds an amount to the count. */
    void add(std::uint64_t amount = 1) { value_.fetch_add(amount, std::memory_order_relaxed); }

    /** Returns the current count. */
    std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> value_{0};
};

} // namespace boragetrack::core::counters
