/** Which nodes follow the durable store, and how the others get its news. */
#pragma once

#include "control/membership/MembershipEngine.h"
#include "core/timing/MonotonicTime.h"

#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace boragetrack::control::distribution {

/**
    Lets a few nodes of each data centre follow the store and the others ask these for news.

    A waiting watch and each of its answers is a priced call, so that calls for each change grow
   with the nodes that follow. A node that does not follow asks the followers of its data centre in
   turn. It is covered while one that reaches the store answered lately; without cover it follows
   the store itself, so that a node which is cut off from its peers alone misses nothing.
*/
class FollowerRole
{
public:
    /** A data centre has at least so many followers, and one for each further few members: a
        follower then answers some five other nodes twice a second. */
    static constexpr std::size_t minimumFollowers = 4;
    static constexpr std::size_t membersPerFollower = 5;

    /** The period in which a node that does not follow asks one follower. */
    static constexpr std::chrono::milliseconds pollPeriod{500};

    /** How long an answer covers a node: two further askings may fail. Together with one call to
        the store it stays below the two seconds in which a change is to be in force. */
    static constexpr std::chrono::milliseconds coverageLifetime{1200};

    /** @param members outlives the role */
    explicit FollowerRole(const membership::MembershipEngine &members)
        : members_(members)
    {}

    /** Returns whether this node is to follow the store now. */
    bool mustFollow(core::timing::MonotonicTime now) const;

    /** Returns whether this node is among the chosen followers of its data centre, as far as it
        knows the members. */
    bool isSelected() const;

    /** Returns the follower to ask next; nothing when this node is one itself or knows of none. */
    std::optional<core::identity::NodeId> nextFollowerToPoll();

    /** Notes that a node answered which follows the store and reaches it. */
    void recordCoverage(core::timing::MonotonicTime now) { lastCoverage_ = now; }

    /** Notes that a node asked for news of the store. */
    void recordPoll(const core::identity::NodeId &node, core::timing::MonotonicTime now)
    {
        polledAt_[node] = now;
    }

    /** Returns the nodes to which news is sent at once: those that asked lately, and the other
        followers of the data centre, whose own watch may be lost without their knowing. */
    std::vector<core::identity::NodeId> updateReceivers(core::timing::MonotonicTime now);

private:
    std::vector<core::identity::NodeId> followers() const;

    const membership::MembershipEngine &members_;
    std::optional<core::timing::MonotonicTime> lastCoverage_;
    std::map<core::identity::NodeId, core::timing::MonotonicTime> polledAt_;
    std::size_t nextFollower_ = 0;
};

} // namespace boragetrack::control::distribution
