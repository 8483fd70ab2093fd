/** The platform stand-in's call rates. */
#pragma once

#include <chrono>
#include <mutex>

namespace boragetrack::standins::platform {

/** Allows a number of calls in each second. */
class RateLimiter
{
public:
    explicit RateLimiter(int callsPerSecond)
        : callsPerSecond_(callsPerSecond)
    {}

    /** Counts a call. @returns whether the rate allows it */
    bool tryAcquire()
    {
        const std::lock_guard lock(mutex_);
        const auto second = std::chrono::floor<std::chrono::seconds>(
                std::chrono::steady_clock::now().time_since_epoch());
        if (second != second_) {
            second_ = second;
            callCount_ = 0;
        }
        return ++callCount_ <= callsPerSecond_;
    }

private:
    const int callsPerSecond_;
    std::mutex mutex_;
    std::chrono::seconds second_{0};
    int callCount_ = 0;
};

} // namespace boragetrack::standins::platform
