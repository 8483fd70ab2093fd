/** An intent that is in force on another node and later than this node's. */
#pragma once

#include "core/identity/IntentNumber.h"
#include "core/identity/NodeId.h"
#include "core/timing/MonotonicTime.h"

namespace boragetrack::control::distribution {

/** Names the first node that told of an intent with a higher number than the one in force here. */
struct LaterIntent
{
    core::identity::IntentNumber number;
    core::identity::NodeId reportedBy;
    /** Since when this node has known of it. */
    core::timing::MonotonicTime knownSince{};
};

} // namespace boragetrack::control::distribution
