/** Of the time within which a report is due, seven tenths are for waiting and the rest for
    recording and sending it. */
#include "control/usage/ReportSchedule.h"

#include <algorithm>
#include <utility>

namespace boragetrack::control::usage {

using core::timing::WallTime;

std::optional<UsageWindow> ReportSchedule::nextWindow(const UsageCollector &collector,
                                                      UsageWindow reported, WallTime now) const
{
    if (reported == UsageWindow{})
        return collector.firstCounted();
    // Counts of older windows are not kept anywhere. A later window without counts is reported
    // empty: a node that is cut off may have some.
    return std::max(reported.next(), collector.firstKept(now));
}

std::optional<ReportSchedule::Selection>
ReportSchedule::select(const UsageCollector &collector, UsageWindow reported,
                       const std::vector<DutyHolder> &members, std::chrono::nanoseconds waited,
                       WallTime now) const
{
    const auto window = nextWindow(collector, reported, now);
    if (!window || now < window->endsAt(settings_.windowPeriod))
        return std::nullopt;
    auto missing = collector.membersPending(*window, members);
    const auto latest = window->endsAt(settings_.windowPeriod) + settings_.reportDelay * 7 / 10;
    const bool isWaiting = now < latest || waited < minimumWait;
    if (!missing.empty() && isWaiting)
        return std::nullopt;
    return Selection{*window, std::move(missing)};
}

} // namespace boragetrack::control::usage
