/** Reads of the store through other nodes, for a follower that the store does not serve. */
#pragma once

#include "control/distribution/FollowerRole.h"
#include "core/timing/MonotonicTime.h"

#include <chrono>
#include <optional>
#include <random>
#include <vector>

namespace boragetrack::control::distribution {

/**
    Decides when a follower asks other nodes to read the store for it, and which ones.

    The store may reject some nodes while it serves others, and most likely those that call it. A
    follower can't tell that from an outage of the store, and its pending watch may be lost. While
    it gets no proof of its own, it therefore asks nodes that do not follow, two at a time, until
    one of them has been in touch with the store. If several rounds bring nothing, the store is
    probably out for all, and one node a second is asked: each read is a charged call.
*/
class IndirectReads
{
public:
    /** How many nodes are asked in one round, before an outage is assumed. */
    static constexpr std::size_t nodesPerRound = 2;
    /** The time after which further nodes are asked. */
    static constexpr std::chrono::milliseconds roundPeriod{150};
    /** The number of rounds after which the store is taken to be out for all nodes. */
    static constexpr int roundsBeforeOutage = 4;
    /** The time between two rounds in an outage. */
    static constexpr std::chrono::milliseconds outageRoundPeriod{1000};

    /** @param members and @param role must outlive this object */
    IndirectReads(const membership::MembershipEngine &members, const FollowerRole &role,
                  std::uint64_t randomSeed)
        : members_(members)
        , role_(role)
        , random_(randomSeed)
    {}

    /** Records that the store did not serve a call of this node. */
    void recordMissingProof(core::timing::MonotonicTime now);

    /** Records that the store served a call of this node. @param askedAt when it was sent */
    void recordOwnContact(core::timing::MonotonicTime askedAt);

    /** Records a response of a node, which says when it was in touch with the store. */
    void recordContact(const core::identity::NodeId &node, core::timing::MonotonicTime contactAt);

    /** Returns whether the store has not served this node since a call that it did not serve. */
    bool isProofMissing() const { return missingSince_.has_value(); }

    /** Returns the nodes to ask now.
        @param lastContact the last contact with the store of any node that this one heard of */
    std::vector<core::identity::NodeId>
    takeNodesToAsk(std::optional<core::timing::MonotonicTime> lastContact,
                   core::timing::MonotonicTime now);

private:
    bool isDue(std::optional<core::timing::MonotonicTime> lastContact,
               core::timing::MonotonicTime now);
    void drawOrder();

    const membership::MembershipEngine &members_;
    const FollowerRole &role_;
    std::mt19937_64 random_;
    std::optional<core::timing::MonotonicTime> missingSince_;
    // When the first round since the last contact began, and the latest one.
    std::optional<core::timing::MonotonicTime> firstAskedAt_;
    core::timing::MonotonicTime askedAt_{};
    int rounds_ = 0;
    // The node that was asked and was in touch with the store last; empty if none was.
    core::identity::NodeId helper_;
    // The nodes to ask, from next_ on. Invariant: next_ is at most the size.
    std::vector<core::identity::NodeId> order_;
    std::size_t next_ = 0;
};

} // namespace boragetrack::control::distribution
