/** Bounds the bandwidth of urgent control messages. */
#pragma once

#include "core/timing/MonotonicTime.h"

#include <algorithm>

namespace boragetrack::control::distribution {

/** Implements a token bucket in bytes: short bursts pass without delay while the average rate stays
    bounded. */
class ByteRateLimiter
{
public:
    ByteRateLimiter(double bytesPerSecond, double burstBytes)
        : bytesPerSecond_(bytesPerSecond)
        , burstBytes_(burstBytes)
        , available_(burstBytes)
    {}

    /** Consumes tokens.
        @returns false, consuming nothing, if fewer than @p bytes tokens are available */
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
