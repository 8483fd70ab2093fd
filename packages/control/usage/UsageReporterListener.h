/** Receiver of the events of usage reports. */
#pragma once

#include "control/usage/UsageReport.h"
#include "core/identity/NodeId.h"

#include <string>
#include <vector>

namespace boragetrack::control::usage {

/** Handles what an operator should see. Called on the control thread. */
class UsageReporterListener
{
public:
    virtual ~UsageReporterListener() = default;

    /** Handles that this node holds the duty from now on. */
    virtual void dutyGained(FencingToken token) = 0;

    /** Handles that this node does not hold the duty any more. */
    virtual void dutyLost(FencingToken token, const std::string &reason) = 0;

    /** Handles that the receiver accepted a report. */
    virtual void reportAccepted(const UsageReport &report) = 0;

    /** Handles the first failure in a series of attempts to send a report. */
    virtual void reportFailed(const UsageReport &report, const std::string &error) = 0;

    /** Handles that a window is reported although the final counts of nodes are missing. */
    virtual void reportIncomplete(UsageWindow window,
                                  const std::vector<core::identity::NodeId> &missing)
            = 0;

    /** Handles that counts of a window were dropped before it was reported. */
    virtual void countsDropped(UsageWindow window) = 0;
};

} // namespace boragetrack::control::usage
