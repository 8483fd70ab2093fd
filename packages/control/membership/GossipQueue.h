/** The queue of member records that a node still has to forward. */
#pragma once

#include "control/membership/GossipPriority.h"
#include "control/membership/MemberRecord.h"

#include <map>
#include <vector>

namespace boragetrack::control::membership {

/** Holds the members whose records are to be forwarded, and the number of transmissions left for
    each. */
class GossipQueue
{
public:
    /** Adds a member; replaces an earlier entry of the same member. */
    void add(const core::identity::NodeId &id, GossipPriority priority, int transmissions);

    /** Returns the most urgent members and counts one transmission for each; removes those without
        transmissions left.
        @param maximum the maximum number of members */
    std::vector<core::identity::NodeId> take(std::size_t maximum);

    /** Returns whether the queue is empty. */
    bool isEmpty() const { return entries_.empty(); }

private:
    struct Entry
    {
        GossipPriority priority;
        // Invariant: above zero.
        int remaining;
    };

    std::map<core::identity::NodeId, Entry> entries_;
};

} // namespace boragetrack::control::membership
