/** Names windows by their numbers, as the reports do. */
#include "daemon/usage/UsageEvents.h"

#include "core/events/EventLog.h"

namespace boragetrack::daemon::usage {

using control::usage::FencingToken;
using control::usage::UsageReport;
using control::usage::UsageWindow;
using core::events::EventCode;
using core::identity::NodeId;

namespace {

std::string textOf(UsageWindow window)
{
    return std::to_string(window.number());
}

} // namespace

UsageEvents::UsageEvents(core::counters::CounterRegistry &counters)
    : accepted_(counters.counter("usage_reports_accepted"))
    , incomplete_(counters.counter("usage_windows_incomplete"))
    , elections_(counters.counter("usage_elections"))
    , reportedThrough_(counters.counter("usage_reported_through"))
{}

void UsageEvents::setReportedThrough(UsageWindow window)
{
    if (window.number() > reportedThrough_.value())
        reportedThrough_.add(window.number() - reportedThrough_.value());
}

void UsageEvents::dutyGained(FencingToken token)
{
    elections_.add();
    core::events::logEvent(EventCode::UsageDutyGained, "duty of usage reports gained",
                           {{"token", std::to_string(token.number())}});
}

void UsageEvents::dutyLost(FencingToken token, const std::string &reason)
{
    core::events::logEvent(EventCode::UsageDutyLost, "duty of usage reports lost",
                           {{"token", std::to_string(token.number())}, {"reason", reason}});
}

void UsageEvents::reportAccepted(const UsageReport &report)
{
    accepted_.add();
    std::uint64_t requests = 0;
    for (const auto &[organisation, count] : report.counts)
        requests += count;
    core::events::logEvent(EventCode::UsageReportAccepted, "usage report accepted",
                           {{"window", textOf(report.window)},
                            {"organisations", std::to_string(report.counts.size())},
                            {"requests", std::to_string(requests)}});
}

void UsageEvents::reportFailed(const UsageReport &report, const std::string &error)
{
    core::events::logEvent(EventCode::UsageReportFailed,
                           "usage report not accepted, will be sent again",
                           {{"window", textOf(report.window)}, {"error", error}});
}

void UsageEvents::reportIncomplete(UsageWindow window, const std::vector<NodeId> &missing)
{
    incomplete_.add();
    std::string nodes;
    for (const NodeId &node : missing)
        nodes += (nodes.empty() ? "" : ",") + node.value();
    core::events::logEvent(EventCode::UsageWindowIncomplete,
                           "usage window reported without the final counts of nodes",
                           {{"window", textOf(window)}, {"missing", nodes}});
}

void UsageEvents::countsDropped(UsageWindow window)
{
    if (window <= lastDropped_)
        return;
    lastDropped_ = window;
    core::events::logEvent(EventCode::UsageCountsDropped, "usage counts dropped unreported",
                           {{"window", textOf(window)}});
}

} // namespace boragetrack::daemon::usage
