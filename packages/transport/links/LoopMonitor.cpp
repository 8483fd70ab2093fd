/** A tick is late by as much as the loop was behind when its timer fired: the loop reads its clock
    and its sockets only when all that was ready before has been handled. */
#include "transport/links/LoopMonitor.h"

#include "core/events/EventLog.h"

namespace boragetrack::transport::links {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

void LoopMonitor::recordTick(core::timing::MonotonicTime now)
{
    const auto late = std::max(now - dueAt_, core::timing::MonotonicTime::duration::zero());
    dueAt_ = now + core::timing::PauseDetector::tickPeriod;
    pauses_.recordTick(now);
    lateness_.add(late);
    if (late < reportedLateness)
        return;
    core::events::logCall(core::events::EventCode::LoopLate, "event loop late", false,
                          {{"ms", std::to_string(duration_cast<milliseconds>(late).count())}});
}

} // namespace boragetrack::transport::links
