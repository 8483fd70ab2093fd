/** Limits the number of nodes that follow the durable store, since each call to it is charged. */
#pragma once

#include "control/membership/MembershipEngine.h"
#include "core/identity/Revision.h"
#include "core/timing/MonotonicTime.h"

#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace boragetrack::control::distribution {

/**
    Decides whether this node follows the store or polls the followers of its data centre.

    Each watch and each response to it is a charged call, so a data centre has one or two followers
    and a few more only when it is large. A node that does not follow polls the followers of its
    data centre in turn. It is covered while a follower that can reach the store has responded
    recently; without coverage it follows the store itself, so that a node that is cut off only from
    its peers misses no change.

    A follower that does not respond, or that the store turns away, is replaced by the next nodes of
    the same order, which begin to follow when they are polled. Otherwise all nodes of the data
    centre would follow the store for as long as the outage lasts.
*/
class FollowerRole
{
public:
    /** Data centres of up to this many members have one follower: without it, few nodes follow the
        store themselves. */
    static constexpr std::size_t smallDataCentre = 8;
    /** The minimum number of followers of a larger data centre. */
    static constexpr std::size_t minimumFollowers = 2;
    /** Beyond the minimum, there is one follower for each so many members, which bounds the polls
        that a follower responds to. */
    static constexpr std::size_t membersPerFollower = 32;
    /** The number of nodes that may replace unavailable followers at a time. */
    static constexpr std::size_t substitutes = 2;

    /** The interval at which a node that does not follow polls one follower. */
    static constexpr std::chrono::milliseconds pollPeriod{300};

    /** How long one response covers a node; one further poll may fail in that time. With the next
        decision and one call to the store it stays below the second in which a change must be in
        force at a node that is cut off from its peers. */
    static constexpr std::chrono::milliseconds coverageLifetime{700};

    /** The time after the last proof that no change is missing in which the prober seeks the next
        one. */
    static constexpr std::chrono::milliseconds proofPeriod{400};

    /** How much later the other followers seek one themselves. They hear of the prober's up to a
        poll period later, and a round trip. */
    static constexpr std::chrono::milliseconds sharedProofDelay{400};

    /** How long an unavailable follower is not polled. */
    static constexpr std::chrono::milliseconds unavailableTime{3000};

    /** @param members must outlive the role */
    explicit FollowerRole(const membership::MembershipEngine &members)
        : members_(members)
    {}

    /** Returns whether this node should currently follow the store. */
    bool mustFollow(core::timing::MonotonicTime now) const;

    /** Returns whether this node is a selected follower of its data centre, according to the
        members that it knows. */
    bool isSelected() const;

    /** Returns whether a node is this one. */
    bool isSelf(const core::identity::NodeId &node) const { return node == members_.self().id; }

    /** Returns the selected followers of all data centres, according to the members that this node
        knows. */
    std::vector<core::identity::NodeId> selectedFollowers() const;

    /** Returns whether other nodes rely on this one for updates of the store. */
    bool isReliedUpon(core::timing::MonotonicTime now) const
    {
        return isSelected() || isSubstitute(now);
    }

    /** Returns the selected follower, of all data centres, that reads the store's revision for all
        of them; nothing if this node knows none. */
    std::optional<core::identity::NodeId> prober() const;

    /** Returns whether this node reads the store's revision itself: it is the prober, or that one
        has failed to respond. */
    bool mustProbe(core::timing::MonotonicTime now) const;

    /** Returns how old a proof that no change is missing may become before this node seeks another
        one. */
    std::chrono::milliseconds maximumProofAge(core::timing::MonotonicTime now) const;

    /** Returns the follower whose response covered this node last; empty before the first one. */
    const core::identity::NodeId &coveredBy() const { return coveredBy_; }

    /** Returns when that response arrived; nothing before the first one or since that follower
        failed. */
    std::optional<core::timing::MonotonicTime> lastCoverage() const { return lastCoverage_; }

    /** Returns the follower to poll next, or nothing if this node is one or knows none. */
    std::optional<core::identity::NodeId> nextFollowerToPoll(core::timing::MonotonicTime now);

    /** Records a response of a node.
        @param covers whether the node follows the store, can reach it and knows nothing that this
                      node lacks */
    void recordResponse(const core::identity::NodeId &node, bool covers,
                        core::timing::MonotonicTime now);

    /** Records a response of a follower that holds a revision which this node still lacks. It
       covers this node, from the time of the response, once this node holds the revision too:
       changes that follow each other closely would otherwise leave all nodes without coverage. */
    void recordResponseAhead(const core::identity::NodeId &node, core::identity::Revision revision,
                             core::timing::MonotonicTime now);

    /** Records the revision that this node holds. */
    void recordRevision(core::identity::Revision held);

    /** Records that an exchange with a node failed. */
    void recordFailure(const core::identity::NodeId &node, core::timing::MonotonicTime now);

    /** Records that a node polled this one for updates of the store. */
    void recordPoll(const core::identity::NodeId &node, core::timing::MonotonicTime now)
    {
        polledAt_[node] = now;
    }

    /** Returns the nodes that polled recently. Forgets nodes that stopped polling. */
    std::vector<core::identity::NodeId> recentPollers(core::timing::MonotonicTime now);

    /** Returns the nodes to notify of an update immediately: the ones that polled recently, and the
        other followers of all data centres, whose own watch may have been lost without their
        noticing. Forgets nodes that stopped polling. */
    std::vector<core::identity::NodeId> updateReceivers(core::timing::MonotonicTime now);

private:
    // The nodes of the data centre that follow or may replace a follower, in order of preference.
    struct Candidates
    {
        std::vector<core::identity::NodeId> nodes;
        // Invariant: at most nodes.size(); the first nodes are the selected followers.
        std::size_t selected = 0;
        // The selected followers of the other data centres.
        std::vector<core::identity::NodeId> remoteFollowers;
    };

    // A response that covers this node once it holds the follower's revision.
    struct AwaitedCoverage
    {
        core::identity::NodeId follower;
        core::identity::Revision revision;
        core::timing::MonotonicTime respondedAt;
    };

    void cover(const core::identity::NodeId &follower, core::timing::MonotonicTime respondedAt);
    const Candidates &candidates() const;
    bool isSubstitute(core::timing::MonotonicTime now) const;
    std::chrono::milliseconds pollRound() const;
    bool isUnavailable(const core::identity::NodeId &node, core::timing::MonotonicTime now) const;

    const membership::MembershipEngine &members_;
    std::optional<core::timing::MonotonicTime> lastCoverage_;
    // The node that gave the last coverage.
    core::identity::NodeId coveredBy_;
    // Invariant: in the order of the responses, all within one coverage lifetime.
    std::vector<AwaitedCoverage> awaited_;
    std::map<core::identity::NodeId, core::timing::MonotonicTime> polledAt_;
    std::map<core::identity::NodeId, core::timing::MonotonicTime> unavailableUntil_;
    // Until when the prober is taken to be unavailable; nothing if it has not failed.
    std::optional<core::timing::MonotonicTime> proberUnavailableUntil_;
    // The follower that was polled last, and its successive responses without coverage.
    core::identity::NodeId lastPolled_;
    std::map<core::identity::NodeId, int> uncoveredResponses_;
    std::size_t nextFollower_ = 0;
    // The candidates for the member table with a digest.
    mutable Candidates candidates_;
    mutable std::uint64_t candidatesDigest_ = 0;
};

} // namespace boragetrack::control::distribution
