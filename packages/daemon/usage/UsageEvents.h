/** Log events and counters of usage reports. */
#pragma once

#include "control/usage/UsageReporterListener.h"
#include "core/counters/CounterRegistry.h"

namespace boragetrack::daemon::usage {

/** Logs and counts what an operator should see. Used on the control thread only. */
class UsageEvents : public control::usage::UsageReporterListener
{
public:
    /** @param counters outlives this object */
    explicit UsageEvents(core::counters::CounterRegistry &counters);

    /** Publishes the last window known as reported. */
    void setReportedThrough(control::usage::UsageWindow window);

    void dutyGained(control::usage::FencingToken token) override;
    void dutyLost(control::usage::FencingToken token, const std::string &reason) override;
    void reportAccepted(const control::usage::UsageReport &report) override;
    void reportFailed(const control::usage::UsageReport &report, const std::string &error) override;
    void reportIncomplete(control::usage::UsageWindow window,
                          const std::vector<core::identity::NodeId> &missing) override;
    void countsDropped(control::usage::UsageWindow window) override;

private:
    core::counters::Counter &accepted_;
    core::counters::Counter &incomplete_;
    core::counters::Counter &elections_;
    core::counters::Counter &reportedThrough_;
    // Both the meter and the reporter drop windows that are too old; each is logged once.
    control::usage::UsageWindow lastDropped_;
};

} // namespace boragetrack::daemon::usage
