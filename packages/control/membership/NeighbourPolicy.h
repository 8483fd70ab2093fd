/** Chooses the peers that a node keeps links to. */
#pragma once

#include "control/membership/MemberTable.h"

#include <vector>

namespace boragetrack::control::membership {

/** Chooses neighbours out of the members; the number of links follows from the choice. */
class NeighbourPolicy
{
public:
    virtual ~NeighbourPolicy() = default;

    /** Returns the neighbours of a node. */
    virtual std::vector<core::identity::NodeId> neighboursOf(const MemberRecord &self,
                                                             const MemberTable &members) const = 0;
};

} // namespace boragetrack::control::membership
