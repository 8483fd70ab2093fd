/** Spaces the requests of a cold upstream. */
#pragma once

#include "core/timing/MonotonicTime.h"

#include <algorithm>

namespace boragetrack::traffic::admission {

/** Lets a cold upstream have a number of requests a second, evenly spaced. */
class ColdPacer
{
public:
    /** Requests that may come at once after a pause; the rest keeps its distance. */
    static constexpr double burst = 2.0;

    /** Sets how long the upstream stays cold and what it bears.
        @param rate requests a second; zero when the upstream bears all at once */
    void setCold(core::timing::MonotonicTime until, double rate)
    {
        if (!isPacing_)
            available_ = burst;
        until_ = until;
        rate_ = rate;
        isPacing_ = rate > 0.0;
    }

    /** Returns whether requests are spaced now. */
    bool isCold(core::timing::MonotonicTime now) const { return isPacing_ && now < until_; }

    /** Returns whether a request may go now. */
    bool mayTake(core::timing::MonotonicTime now)
    {
        refill(now);
        return !isCold(now) || available_ >= 1.0;
    }

    /** Notes that a request goes. */
    void take(core::timing::MonotonicTime now)
    {
        refill(now);
        if (isCold(now))
            available_ -= 1.0;
    }

    /** Returns the time that so many requests need to go one after the other. */
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
        const std::chrono::duration<double> passed = now - refilledAt_;
        available_ = std::min(burst, available_ + passed.count() * rate_);
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
