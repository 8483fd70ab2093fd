/** Counting of objects by their lifetime. */
#pragma once

#include <cstddef>

namespace boragetrack::core::counters {

/** Adds one to a count during its own lifetime. */
class ScopedCount
{
public:
    /** @param count must outlive this object */
    explicit ScopedCount(std::size_t &count)
        : count_(count)
    {
        ++count_;
    }
    ~ScopedCount() { --count_; }
    ScopedCount(const ScopedCount &) = delete;
    ScopedCount &operator=(const ScopedCount &) = delete;

private:
    std::size_t &count_;
};

} // namespace boragetrack::core::counters
