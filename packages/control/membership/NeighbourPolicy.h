/** The interface for the choice of gossip neighbours. */
#pragma once

#include "control/membership/MemberTable.h"

#include <vector>

namespace boragetrack::control::membership {

/** Chooses neighbours among the members; the number of links follows from the choice. */
class NeighbourPolicy
{
public:
    virtual ~NeighbourPolicy() = default;

    /** Returns the neighbours of a node. */
    virtual std::vector<core::identity::NodeId> neighboursOf(const MemberRecord &self,
                                                             const MemberTable &members) const = 0;
};

} // namespace boragetrack::control::membership
