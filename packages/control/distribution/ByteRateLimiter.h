/** Keeps control traffic within its budget. */
#pragma once

#include "core/timing/MonotonicTime.h"

#include <algorithm>

namespace boragetrack::control::distribution {

/** A token bucket of bytes: bursts of urgent news pass at once, the average stays bounded. */
class ByteRateLimiter
{
public:
    ByteRateLimiter(double bytesPerSecond, double burstBytes)
        : bytesPerSecond_(bytesPerSecond)
        , burstBytes_(burstBytes)
        , available_(burstBytes)
    {}

    /** Takes bytes from the budget. @returns false, taking none, when they exceed it */
    bool tryConsume(double bytes, core::timing::MonotonicTime now)
    {
        const std::chrono::duration<double> passed = now - last_;
        last_ = now;
        available_ = std::min(burstBytes_, available_ + passed.count() * bytesPerSecond_);
        if (bytes > available_)
            return false;
        available_ -= bytes;
        return true;
    }

private:
    double bytesPerSecond_;
    double burstBytes_;
    // Invariant: between zero and burstBytes_.
    double available_;
    core::timing::MonotonicTime last_{};
};

} // namespace boragetrack::control::distribution
