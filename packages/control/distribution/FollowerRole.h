/** Limits the number of nodes that follow the durable store, since each call to it is charged. */
#pragma once

#include "control/membership/MembershipEngine.h"
#include "core/timing/MonotonicTime.h"

#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace boragetrack::control::distribution {

/**
    Decides whether this node follows the store or polls the followers of its data centre.

    Each watch and each response to it is a charged call, so the cost of a change grows with the
    number of followers. A node that does not follow polls the followers of its data centre in turn.
    It is covered while a follower that can reach the store has responded recently; without coverage
    it follows the store itself, so that a node that is cut off only from its peers misses no
    change.
*/
class FollowerRole
{
public:
    /** The minimum number of followers of a data centre. Beyond it there is one for every
        membersPerFollower members, so that each follower gets the polls of about five nodes, two
        per second from each. */
    static constexpr std::size_t minimumFollowers = 4;
    static constexpr std::size_t membersPerFollower = 5;

    /** The interval at which a node that does not follow polls one follower. */
    static constexpr std::chrono::milliseconds pollPeriod{500};

    /** How long one response covers a node; two further polls may fail in that time. Together with
        one call to the store it stays below the two seconds in which a change must be in force. */
    static constexpr std::chrono::milliseconds coverageLifetime{1200};

    /** @param members must outlive the role */
    explicit FollowerRole(const membership::MembershipEngine &members)
        : members_(members)
    {}

    /** Returns whether this node should currently follow the store. */
    bool mustFollow(core::timing::MonotonicTime now) const;

    /** Returns whether this node is a selected follower of its data centre, according to the
        members that it knows. */
    bool isSelected() const;

    /** Returns the follower to poll next, or nothing if this node is one or knows none. */
    std::optional<core::identity::NodeId> nextFollowerToPoll();

    /** Records a response from a follower that can reach the store. */
    void recordCoverage(core::timing::MonotonicTime now) { lastCoverage_ = now; }

    /** Records that a node polled this one for updates of the store. */
    void recordPoll(const core::identity::NodeId &node, core::timing::MonotonicTime now)
    {
        polledAt_[node] = now;
    }

    /** Returns the nodes to notify of an update immediately: the ones that polled recently, and the
        other followers of the data centre, whose own watch may have been lost without their
        noticing. Forgets nodes that stopped polling. */
    std::vector<core::identity::NodeId> updateReceivers(core::timing::MonotonicTime now);

private:
    std::vector<core::identity::NodeId> followers() const;

    const membership::MembershipEngine &members_;
    std::optional<core::timing::MonotonicTime> lastCoverage_;
    std::map<core::identity::NodeId, core::timing::MonotonicTime> polledAt_;
    std::size_t nextFollower_ = 0;
};

} // namespace boragetrack::control::distribution
