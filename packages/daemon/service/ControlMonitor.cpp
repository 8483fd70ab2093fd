/** Ticks that come early, after a late one, count as in time. */
#include "daemon/service/ControlMonitor.h"

#include "core/events/EventLog.h"

#include <algorithm>

namespace boragetrack::daemon::service {

using core::timing::MonotonicTime;
using std::chrono::milliseconds;

void ControlMonitor::recordTick(MonotonicTime now)
{
    const auto late = std::max(now - dueAt_.value_or(now), MonotonicTime::duration::zero());
    dueAt_ = now + period_;
    lateness_.add(late);
    if (late < reportedLateness)
        return;
    core::events::logCall(
            core::events::EventCode::ControlLate, "control thread late", false,
            {{"ms", std::to_string(std::chrono::duration_cast<milliseconds>(late).count())}});
}

} // namespace boragetrack::daemon::service
