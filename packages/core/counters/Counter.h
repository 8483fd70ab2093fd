/** A counter that any thread may raise. */
#pragma once

#include <atomic>
#include <cstdint>

namespace boragetrack::core::counters {

/** Counts events of one kind; never falls. */
class Counter
{
public:
    /** Raises the count. */
    void add(std::uint64_t amount = 1) { value_.fetch_add(amount, std::memory_order_relaxed); }

    /** Returns the count. */
    std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> value_{0};
};

} // namespace boragetrack::core::counters
