/** Bounds the lines of frequent events. */
#pragma once

#include "core/timing/MonotonicTime.h"

#include <algorithm>
#include <cstdint>
#include <mutex>

namespace boragetrack::core::events {

/** Allows a number of lines a second and counts those that were left out. */
class LogRateLimiter
{
public:
    explicit LogRateLimiter(double linesPerSecond)
        : linesPerSecond_(linesPerSecond)
        , available_(linesPerSecond)
    {}

    /** Takes one line. @returns whether it may be written */
    bool tryConsume(timing::MonotonicTime now)
    {
        const std::lock_guard lock(mutex_);
        const std::chrono::duration<double> passed = now - refilledAt_;
        available_ = std::min(linesPerSecond_, available_ + passed.count() * linesPerSecond_);
        refilledAt_ = now;
        if (available_ < 1.0) {
            ++leftOut_;
            return false;
        }
        available_ -= 1.0;
        return true;
    }

    /** Returns the lines left out since the last call. */
    std::uint64_t takeSuppressedCount()
    {
        const std::lock_guard lock(mutex_);
        return std::exchange(leftOut_, 0);
    }

private:
    std::mutex mutex_;
    const double linesPerSecond_;
    // Invariant: between zero and linesPerSecond_.
    double available_;
    timing::MonotonicTime refilledAt_{};
    std::uint64_t leftOut_ = 0;
};

} // namespace boragetrack::core::events
