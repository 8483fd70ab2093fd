/** Observation of how late the event loop runs. */
#pragma once

#include "core/counters/LatencyCounters.h"
#include "core/timing/PauseDetector.h"

namespace boragetrack::transport::links {

/** Records the ticks of the event loop: how late each was, and whether the thread was paused. Used
    on the traffic thread only. */
class LoopMonitor
{
public:
    /** A tick that is later than this is logged. */
    static constexpr std::chrono::milliseconds reportedLateness{100};

    LoopMonitor(core::counters::CounterRegistry &counters, core::timing::MonotonicTime now)
        : pauses_(now)
        , lateness_(counters, "loop_late")
        , dueAt_(now)
    {}

    /** Records a tick; the next one is due after PauseDetector::tickPeriod. */
    void recordTick(core::timing::MonotonicTime now);

    /** Returns the detector of pauses that the ticks feed. */
    const core::timing::PauseDetector &pauses() const { return pauses_; }

private:
    core::timing::PauseDetector pauses_;
    core::counters::LatencyCounters lateness_;
    // When the next tick is due.
    core::timing::MonotonicTime dueAt_;
};

} // namespace boragetrack::transport::links
