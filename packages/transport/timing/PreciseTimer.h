/** A timer of an event loop that may be late. */
#pragma once

#include <kj/timer.h>

namespace boragetrack::transport::timing {

/** Counts delays from the present time. The clock of a loop's own timer stands still while the loop
    handles events, so that a deadline counted from it passes early by as much as the loop is late.
 */
class PreciseTimer : public kj::Timer
{
public:
    /** @param timer the timer of the loop; outlives this object */
    explicit PreciseTimer(kj::Timer &timer)
        : timer_(timer)
        , clock_(kj::systemPreciseMonotonicClock())
    {}

    /** Returns the present time, also while the loop handles events. */
    kj::TimePoint now() const override { return clock_.now(); }

    kj::Promise<void> atTime(kj::TimePoint time) override { return timer_.atTime(time); }

    kj::Promise<void> afterDelay(kj::Duration delay) override
    {
        return timer_.atTime(now() + delay);
    }

private:
    kj::Timer &timer_;
    // Invariant: the clock that timer_ is set by.
    const kj::MonotonicClock &clock_;
};

} // namespace boragetrack::transport::timing
