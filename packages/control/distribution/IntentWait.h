/** The state of a node that serves no intent yet. */
#pragma once

#include "control/distribution/IntentWaitReason.h"
#include "core/identity/NetworkAddress.h"
#include "core/identity/NodeId.h"
#include "core/identity/Revision.h"

#include <chrono>

namespace boragetrack::control::distribution {

/** Explains to operators why a process serves no intent. */
struct IntentWait
{
    IntentWaitReason reason = IntentWaitReason::NothingHeard;
    /** The time since the start of the process. */
    std::chrono::milliseconds duration{0};
    core::identity::Revision held;
    core::identity::Revision minimum;
    /** The peer that reported the minimum; empty if there is none. */
    core::identity::NodeId minimumReportedBy;
    /** The number of requests for the intent, and the address of the last one. */
    int fetches = 0;
    core::identity::NetworkAddress lastFetchFrom;
};

} // namespace boragetrack::control::distribution
