/** Observation of how late the control thread runs. */
#pragma once

#include "core/counters/LatencyCounters.h"
#include "core/timing/MonotonicTime.h"

#include <optional>

namespace boragetrack::daemon::service {

/** Records the ticks of a periodic timer of the control thread: a tick is late by as much as the
    thread was behind with its tasks, or had no processor time. Used on the control thread only. */
class ControlMonitor
{
public:
    /** A tick that is later than this is logged. */
    static constexpr std::chrono::milliseconds reportedLateness{100};

    /** @param counters owns the histogram "control_late" and outlives this object
        @param period the period of the ticks */
    ControlMonitor(core::counters::CounterRegistry &counters, std::chrono::milliseconds period)
        : period_(period)
        , lateness_(counters, "control_late")
    {}

    /** Records a tick. */
    void recordTick(core::timing::MonotonicTime now);

private:
    const std::chrono::milliseconds period_;
    core::counters::LatencyCounters lateness_;
    // When the next tick is due; nothing before the first one.
    std::optional<core::timing::MonotonicTime> dueAt_;
};

} // namespace boragetrack::daemon::service
