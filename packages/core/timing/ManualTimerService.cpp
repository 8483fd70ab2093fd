/** Advances from one due time to the next, so that listeners see the time of their tick. */
#include "core/timing/ManualTimerService.h"

namespace boragetrack::core::timing {

void ManualTimerService::addListener(Listener &listener, std::chrono::milliseconds period)
{
    table_.add(listener, period, now_);
}

void ManualTimerService::removeListener(Listener &listener)
{
    table_.remove(listener);
}

void ManualTimerService::advance(std::chrono::milliseconds step)
{
    const MonotonicTime end = now_ + step;
    while (table_.nextDue() && *table_.nextDue() <= end) {
        now_ = std::max(now_, *table_.nextDue());
        table_.deliverDue(now_);
    }
    now_ = end;
}

} // namespace boragetrack::core::timing
