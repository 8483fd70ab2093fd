/** The news of members that a node still passes on. */
#pragma once

#include "control/membership/GossipPriority.h"
#include "control/membership/MemberRecord.h"

#include <map>
#include <vector>

namespace boragetrack::control::membership {

/** Holds the members whose records are to be sent on, and how often each still is. */
class GossipQueue
{
public:
    /** Adds news of a member; replaces older news of the same member. */
    void add(const core::identity::NodeId &id, GossipPriority priority, int transmissions);

    /** Takes the most urgent news, each taking counting as one transmission.
        @param maximum the number of members at most */
    std::vector<core::identity::NodeId> take(std::size_t maximum);

    /** Returns whether no news is waiting. */
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
