/** Usage reports of a node: its counts, the duty to report, and the reports themselves. */
#pragma once

#include "control/records/RecordStore.h"
#include "control/records/RecordTable.h"
#include "control/usage/DutyHolder.h"
#include "control/usage/LeaseClock.h"
#include "control/usage/UsageReceiver.h"
#include "control/usage/UsageReporterListener.h"
#include "control/usage/UsageSettings.h"
#include "control/usage/UsageStatus.h"
#include "control/usage/UsageTransport.h"
#include "core/timing/TimerService.h"

#include <functional>
#include <memory>
#include <vector>

namespace boragetrack::control::usage {

/**
    Sends this node's counts to the holder of the duty, applies for the duty when it is vacant, and
    while this node holds it collects the counts of all nodes and delivers one report a window.

    Used on the control thread; performs no input or output of its own.
*/
class UsageReporter
{
public:
    /** The collaborators of a reporter; references outlive it. */
    struct Dependencies
    {
        records::RecordStore &store;
        UsageReceiver &receiver;
        UsageTransport &transport;
        core::timing::TimerService &timers;
        const LeaseClock &leaseClock;
        std::function<core::timing::WallTime()> wallClock;
        UsageReporterListener &listener;
        /** This process. */
        DutyHolder self;
        UsageSettings settings;
    };

    /** The key of the holder's record. */
    static constexpr const char *holderKey = "boragetrack/usage/holder";
    /** The key of the last report. */
    static constexpr const char *reportKey = "boragetrack/usage/report";

    explicit UsageReporter(const Dependencies &dependencies);
    ~UsageReporter();
    UsageReporter(const UsageReporter &) = delete;
    UsageReporter &operator=(const UsageReporter &) = delete;

    /** Takes over the node's own counts; called about once a second. */
    void countsTaken(UsageSnapshot snapshot);

    /** Takes over the counts that a peer sent. @returns the last window known as reported */
    UsageWindow snapshotReceived(const UsageSnapshot &snapshot);

    /** Sets the members that are alive, this node included. */
    void setMembers(std::vector<DutyHolder> members);

    /** Handles changes of this node's copy of the store's records. */
    void recordsChanged(const records::RecordTable &records);

    /** Gives the duty up, as the node is about to stop: no further report begins. The node's
        counts are sent for as long as it runs. */
    void beginStop();

    /** Returns the last window known as reported; zero if none is. Counts up to it may be
        forgotten. */
    UsageWindow reportedThrough() const;

    /** Returns the state for operators. */
    UsageStatus status() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace boragetrack::control::usage
