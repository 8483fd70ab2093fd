/** What must hold of each call to the receiver of usage reports. */
#pragma once

#include "UsageStoreModel.h"
#include "control/usage/UsageReport.h"
#include "core/identity/NodeId.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace boragetrack::tests {

/** Checks calls at the moment at which a node sends them, from outside the nodes. */
class UsageSendRules
{
public:
    using Milliseconds = std::chrono::milliseconds;
    using Process = std::pair<core::identity::NodeId, std::uint64_t>;

    explicit UsageSendRules(const UsageStoreModel &store)
        : store_(store)
    {}

    /** Handles that a process knows that it lost the duty. */
    void dutyLost(control::usage::FencingToken token) { lost_.insert(token.number()); }

    /** Handles that a process was told by the receiver of a higher token. */
    void fenced(control::usage::FencingToken token) { lost_.insert(token.number()); }

    /** Handles a call that is being sent. */
    void sent(Milliseconds now, const Process &process, const control::usage::UsageReport &report,
              control::usage::FencingToken token);

    /** What must not happen. */
    std::vector<std::string> faults;

private:
    /** Consecutive calls of one node. */
    struct Run
    {
        core::identity::NodeId node;
        Milliseconds first;
        Milliseconds last;
    };

    void addToRuns(Milliseconds now, const core::identity::NodeId &node);

    const UsageStoreModel &store_;
    std::set<std::uint64_t> lost_;
    std::map<std::uint64_t, Process> senders_;
    std::vector<Run> runs_;
};

} // namespace boragetrack::tests
