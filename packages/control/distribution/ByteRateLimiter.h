/** Bounds the bandwidth of urgent exchanges and of evidence. */
#pragma once

#include "core/timing/MonotonicTime.h"

#include <algorithm>

namespace boragetrack::control::distribution {

/** Token bucket in bytes: short bursts pass without delay while the average rate stays
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
        const std::chrono::duration<double> elapsed = now - refilledAt_;
        refilledAt_ = now;
        available_ = std::min(burstBytes_, available_ + elapsed.count() * bytesPerSecond_);
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
    core::timing::MonotonicTime refilledAt_{};
};

} // namespace boragetrack::control::distribution
