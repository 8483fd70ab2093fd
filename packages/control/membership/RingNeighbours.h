/** Neighbours on a ring with chords. */
#pragma once

#include "control/membership/NeighbourPolicy.h"

namespace boragetrack::control::membership {

/**
    Orders each data centre's members by hash on a ring and links a node to its next successors, to
    members at a quarter, half and three quarters of the ring, and to one member of each other data
    centre. Every node is thus watched by as many others as it watches, and news crosses the fleet
    in few hops.
*/
class RingNeighbours : public NeighbourPolicy
{
public:
    std::vector<core::identity::NodeId> neighboursOf(const MemberRecord &self,
                                                     const MemberTable &members) const override;
};

} // namespace boragetrack::control::membership
