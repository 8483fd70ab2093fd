/** A rate limit for upstreams that are still cold after a start. */
#pragma once

#include "core/timing/MonotonicTime.h"

#include <algorithm>

namespace boragetrack::traffic::admission {

/** Spaces the requests of a cold upstream by a token bucket; has no effect on a warm one. */
class ColdPacer
{
public:
    /** Requests that may start back to back after a pause. */
    static constexpr double burst = 2.0;

    /** Sets until when the upstream is cold and its request rate until then.
        @param rate requests per second; zero for no rate limit */
    void setCold(core::timing::MonotonicTime until, double rate)
    {
        if (!isPacing_)
            available_ = burst;
        until_ = until;
        rate_ = rate;
        isPacing_ = rate > 0.0;
    }

    /** Returns whether requests are rate limited now. */
    bool isCold(core::timing::MonotonicTime now) const { return isPacing_ && now < until_; }

    /** Returns whether a request may start now. */
    bool mayAcquire(core::timing::MonotonicTime now)
    {
        refill(now);
        return !isCold(now) || available_ >= 1.0;
    }

    /** Acquires the token of a request that starts now. */
    void acquire(core::timing::MonotonicTime now)
    {
        refill(now);
        if (isCold(now))
            available_ -= 1.0;
    }

    /** Returns the time until this number of requests may have started; zero when warm. */
    std::chrono::nanoseconds timeFor(double requests, core::timing::MonotonicTime now)
    {
        refill(now);
        if (!isCold(now))
            return std::chrono::nanoseconds::zero();
        const std::chrono::duration<double> time(std::max(0.0, requests - available_) / rate_);
        return std::chrono::duration_cast<std::chrono::nanoseconds>(time);
    }

private:
    void refill(core::timing::MonotonicTime now)
    {
        const std::chrono::duration<double> elapsed = now - refilledAt_;
        available_ = std::min(burst, available_ + elapsed.count() * rate_);
        refilledAt_ = now;
    }

    core::timing::MonotonicTime until_{};
    double rate_ = 0.0;
    bool isPacing_ = false;
    // Invariant: at most burst.
    double available_ = burst;
    core::timing::MonotonicTime refilledAt_{};
};

} // namespace boragetrack::traffic::admission
