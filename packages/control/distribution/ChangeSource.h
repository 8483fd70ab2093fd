/** Where a node got a change from. */
#pragma once

#include "control/records/ChangeOrigin.h"
#include "core/identity/NodeId.h"

#include <string>

namespace boragetrack::control::distribution {

/** Names the way by which a change came and, for a transfer, the node that sent it. */
struct ChangeSource
{
    records::ChangeOrigin origin = records::ChangeOrigin::None;
    /** Empty unless the origin is a peer. */
    core::identity::NodeId node;

    /** Returns the sending node, or else the name of the origin, for logs. */
    std::string toString() const
    {
        return node.isEmpty() ? records::describe(origin) : node.value();
    }
};

} // namespace boragetrack::control::distribution
