/** Detection of pauses of a thread, such as a suspended process or a VM that lacks processor time.
 */
#pragma once

#include "core/timing/MonotonicTime.h"

namespace boragetrack::core::timing {

/**
    Tells how much older than its reading an input may be, since a paused thread reads what arrived
    meanwhile only afterwards.

    A thread reports regular ticks. Inputs that it reads between the end of a pause and shortly
   after the first tick may have waited for the whole pause.
*/
class PauseDetector
{
public:
    /** The interval at which the thread is to report ticks. */
    static constexpr std::chrono::milliseconds tickPeriod{250};
    /** A longer gap between two ticks is a pause. */
    static constexpr std::chrono::milliseconds minimumPause{600};
    /** The time after a pause within which the inputs that arrived meanwhile are read. */
    static constexpr std::chrono::milliseconds backlogTime{100};

    explicit PauseDetector(MonotonicTime now)
        : lastTick_(now)
    {}

    /** Records that the thread is running. */
    void recordTick(MonotonicTime now)
    {
        const auto gap = now - lastTick_;
        if (gap >= minimumPause) {
            lastPause_ = gap;
            backlogUntil_ = now + backlogTime;
        }
        lastTick_ = now;
    }

    /** Returns how long an input that is read now may have waited because of a pause. */
    std::chrono::nanoseconds possibleDelay(MonotonicTime now) const
    {
        const auto gap = now - lastTick_;
        if (gap >= minimumPause)
            return gap;
        return now < backlogUntil_ ? lastPause_ : std::chrono::nanoseconds::zero();
    }

private:
    MonotonicTime lastTick_;
    // The length of the last pause, and until when inputs may have waited for it.
    std::chrono::nanoseconds lastPause_{0};
    MonotonicTime backlogUntil_{};
};

} // namespace boragetrack::core::timing
