/** Limits the rate of frequent log lines. */
#pragma once

#include "core/timing/MonotonicTime.h"

#include <algorithm>
#include <cstdint>
#include <mutex>

namespace boragetrack::core::events {

/** Token bucket that allows a number of lines per second, with bursts of one second's lines, and
    counts the suppressed ones. Thread-safe. */
class LogRateLimiter
{
public:
    explicit LogRateLimiter(double linesPerSecond)
        : linesPerSecond_(linesPerSecond)
        , available_(linesPerSecond)
    {}

    /** Consumes the allowance of one line. @returns whether the line may be written; if not, it is
        counted as suppressed */
    bool tryConsume(timing::MonotonicTime now)
    {
        const std::lock_guard lock(mutex_);
        const std::chrono::duration<double> elapsed = now - refilledAt_;
        available_ = std::min(linesPerSecond_, available_ + elapsed.count() * linesPerSecond_);
        refilledAt_ = now;
        if (available_ < 1.0) {
            ++suppressed_;
            return false;
        }
        available_ -= 1.0;
        return true;
    }

    /** Returns the number of lines suppressed since the last call. */
    std::uint64_t takeSuppressedCount()
    {
        const std::lock_guard lock(mutex_);
        return std::exchange(suppressed_, 0);
    }

private:
    std::mutex mutex_;
    const double linesPerSecond_;
    // Invariant: between zero and linesPerSecond_.
    double available_;
    timing::MonotonicTime refilledAt_{};
    std::uint64_t suppressed_ = 0;
};

} // namespace boragetrack::core::events
