/** Neighbours on a hash ring with chords. */
#pragma once

#include "control/membership/NeighbourPolicy.h"

namespace boragetrack::control::membership {

/**
    Orders the members of each data centre by hash on a ring and links a node to its next
    successors, to the members at a quarter, half and three quarters of the ring, and to one member
    of each other data centre. Every node is thus observed by as many others as it observes, and
    gossip reaches all nodes in few hops.
*/
class RingNeighbours : public NeighbourPolicy
{
public:
    std::vector<core::identity::NodeId> neighboursOf(const MemberRecord &self,
                                                     const MemberTable &members) const override;
};

} // namespace boragetrack::control::membership
