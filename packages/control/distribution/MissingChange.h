/** A change that another node holds and this one lacks. */
#pragma once

#include "core/identity/NodeId.h"
#include "core/identity/Revision.h"
#include "core/timing/MonotonicTime.h"

namespace boragetrack::control::distribution {

/** Names the first node that told of a revision above the held one. */
struct MissingChange
{
    core::identity::Revision revision;
    core::identity::NodeId reportedBy;
    /** Since when that node, or another one, has held it. */
    core::timing::MonotonicTime knownSince{};
};

} // namespace boragetrack::control::distribution
