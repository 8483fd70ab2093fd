/** Rate limit of the platform stand-in. */
#pragma once

#include <chrono>
#include <mutex>

namespace boragetrack::standins::platform {

/** Permits a fixed number of calls per second, counted in whole seconds of the steady clock.
    Thread-safe. */
class RateLimiter
{
public:
    explicit RateLimiter(int callsPerSecond)
        : callsPerSecond_(callsPerSecond)
    {}

    /** Counts a call. @returns whether it is within the limit */
    bool tryAcquire()
    {
        const std::lock_guard lock(mutex_);
        const auto currentSecond = std::chrono::floor<std::chrono::seconds>(
                std::chrono::steady_clock::now().time_since_epoch());
        if (currentSecond != countedSecond_) {
            countedSecond_ = currentSecond;
            callCount_ = 0;
        }
        return ++callCount_ <= callsPerSecond_;
    }

private:
    const int callsPerSecond_;
    std::mutex mutex_;
    std::chrono::seconds countedSecond_{0};
    int callCount_ = 0;
};

} // namespace boragetrack::standins::platform
