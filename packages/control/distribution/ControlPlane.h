/** The control decisions of one node, joined. */
#pragma once

#include "control/distribution/ByteRateLimiter.h"
#include "control/distribution/EvaluatorGroup.h"
#include "control/distribution/FollowerRole.h"
#include "control/distribution/IntentPropagator.h"
#include "control/distribution/PeerSelector.h"
#include "control/distribution/PeerTransport.h"
#include "control/intent/IntentSnapshot.h"
#include "control/membership/MembershipEngine.h"
#include "control/moves/MoveCoordinator.h"
#include "core/timing/ScopedTimer.h"

#include <memory>
#include <random>

namespace boragetrack::control::distribution {

/**
    Joins membership, the spread of the intent and moves, and drives them by timers and messages.

    All calls come on one thread, the control thread. The object performs no input or output: it
    speaks to peers through PeerTransport and to its owner through Listener.
*/
class ControlPlane : private IntentPropagator::Listener,
                     private membership::MembershipEngine::Listener,
                     private moves::MoveCoordinator::Listener
{
public:
    /** Receives what the control plane decides. */
    class Listener
    {
    public:
        virtual ~Listener() = default;

        /** Handles that intent, members or shares changed in a way that concerns traffic. */
        virtual void viewChanged() = 0;

        /** Handles that a newer intent is in force on this node. */
        virtual void intentInForce() = 0;

        /** Handles that an intent was refused; the former one stays in force. */
        virtual void intentRefused() = 0;

        /** Handles a changed member; previous is null for a new one. */
        virtual void memberChanged(const membership::MemberRecord *previous,
                                   const membership::MemberRecord &record)
                = 0;

        /** Handles that a data centre fell silent as a whole. */
        virtual void dataCentreSilent(const core::identity::DataCentreId &dataCentre) = 0;

        /** Handles that a version was found bad and gets no further call. */
        virtual void moveStopped(const intent::MoveIntent &move, const std::string &evidence) = 0;
    };

    /** Returns the calendar time, for the plans of moves. */
    using WallClock = std::function<core::timing::WallTime()>;

    /** What a control plane is made of. */
    struct Dependencies
    {
        membership::MemberRecord self;
        std::vector<core::identity::NetworkAddress> seeds;
        std::unique_ptr<membership::NeighbourPolicy> neighbours;
        std::unique_ptr<moves::MovePolicies> movePolicies;
        WallClock wallClock;
        std::uint64_t randomSeed = 0;
        /** Holds the intent; by default as one envelope. */
        std::unique_ptr<IntentReplica> replica = std::make_unique<EnvelopeReplica>();
    };

    /** The period of exchanges with one peer each. */
    static constexpr std::chrono::milliseconds exchangePeriod{1000};
    /** The period of decisions that depend on time alone. */
    static constexpr std::chrono::milliseconds decisionPeriod{200};

    ControlPlane(Dependencies dependencies, PeerTransport &transport,
                 core::timing::TimerService &timers, Listener &listener);
    ~ControlPlane() override;

    /** Contacts the seeds and begins the periodic work. */
    void start();

    /** Tells the peers that this node leaves. */
    void leave();

    //==============================================================================
    /** Takes a value of the intent's key, read from the platform. */
    void storeValueReceived(const std::string &text);

    /** Notes that the replica took news from the durable store that this node follows. */
    void storeUpdateReceived(OfferResult result);

    /** Notes whether this node follows the durable store at present and reaches it. */
    void storeFollowingChanged(bool isFollowed);

    /** Returns whether this node is to follow the durable store now. */
    bool mustFollowStore() const { return followerRole_.mustFollow(timers_.now()); }

    /** Returns whether this node is among those that other nodes find by the store. */
    bool isSelectedFollower() const { return followerRole_.isSelected(); }

    /** Contacts nodes that the store names and this node does not know. */
    void peersDiscovered(const std::vector<core::identity::NetworkAddress> &addresses);

    /** Takes what the upstream beside this node announced. */
    void upstreamAnnounced(const membership::UpstreamRecord &upstream);

    /** Takes the outcome of a call to the upstream beside this node. */
    void callEnded(const moves::CallEvidence &evidence) { moves_.recordCall(evidence); }

    //==============================================================================
    /** Answers another node's exchange. */
    Exchange exchangeReceived(const Exchange &request);

    /** Takes the answer to an exchange. */
    void exchangeResponseReceived(const PeerContact &peer, const Exchange &response);

    /** Takes the failure of an exchange. */
    void exchangeFailed(const PeerContact &peer);

    /** Takes an intent that a peer pushed, or sent when asked.
        @returns the revision held after it */
    core::identity::Revision intentReceived(const PeerContact &peer,
                                            const IntentTransfer &transfer);

    /** Takes a peer's answer to a push. */
    void pushResponseReceived(core::identity::Revision peerRevision);

    /** Takes the members that a peer sent when asked. */
    void membersReceived(const std::vector<membership::MemberRecord> &records);

    /** Returns the intent for a peer that asks for a newer one than it has. */
    IntentTransfer transferSince(core::identity::Revision have) const
    {
        return propagator_.replica().transferSince(have);
    }

    //==============================================================================
    /** Returns the intent in force; revision zero before the first. */
    const std::shared_ptr<const intent::IntentSnapshot> &snapshot() const { return snapshot_; }

    /** Returns the members. */
    const membership::MembershipEngine &membership() const { return membership_; }

    /** Returns the held intent with its refusals. */
    const IntentReplica &replica() const { return propagator_.replica(); }

    /** Returns the wall clock that the plans of moves follow. */
    core::timing::WallTime wallTime() const { return wallClock_(); }

    /** Returns whether this node should watch the platform. */
    bool isWatcher() const;

    /** Returns whether a move is followed, so that outcomes of calls matter. */
    bool followsMoves() const { return moves_.isActive(); }

    /** Returns how a route's calls to a service divide between versions now. */
    moves::RouteShare shareOf(const intent::Route &route,
                              const core::identity::ServiceName &service) const;

    /** Returns the outcomes of moves that the intent lacks and this node should record. */
    std::vector<moves::MoveRecord> pendingMoveRecords();

    /** Returns the members, as messages carry them, that differ from a peer's table. */
    std::vector<membership::MemberRecord>
    membersDifferingFrom(const membership::MemberTable::BucketHashes &hashes) const
    {
        return membership_.table().recordsDifferingFrom(hashes);
    }

private:
    class Timer;

    void intentInForce() override;
    void resolveSnapshot(core::identity::Revision revision, const intent::IntentDocument &document);
    void expireExceptions();
    void intentRefused() override { listener_.intentRefused(); }
    void memberChanged(const membership::MemberRecord *previous,
                       const membership::MemberRecord &record) override;
    void dataCentreSilent(const core::identity::DataCentreId &dataCentre) override
    {
        listener_.dataCentreSilent(dataCentre);
    }
    void moveStopped(const intent::MoveIntent &move, const std::string &evidence) override;

    void exchangeTick(core::timing::MonotonicTime now);
    void pollTick(core::timing::MonotonicTime now);
    void decisionTick(core::timing::MonotonicTime now);
    void sendEvidence();
    void sendUrgentExchanges();
    void sendExchangeTo(const PeerContact &peer, std::size_t maximumGossip);
    void mergeExchange(const PeerContact &peer, const Exchange &exchange);
    void fetchMembersIfDiffering(const PeerContact &peer, std::uint64_t digest);
    Exchange makeExchange(const core::identity::NodeId &receiver, std::size_t maximumGossip);

    PeerTransport &transport_;
    core::timing::TimerService &timers_;
    Listener &listener_;
    WallClock wallClock_;
    std::mt19937_64 random_;
    membership::MembershipEngine membership_;
    PeerSelector peers_;
    FollowerRole followerRole_;
    IntentPropagator propagator_;
    moves::MoveCoordinator moves_;
    EvaluatorGroup evaluatorGroup_;
    // Invariant: never null; its revision never falls.
    std::shared_ptr<const intent::IntentSnapshot> snapshot_;
    // When snapshot_ was resolved; exceptions that had expired by then have no effect in it.
    core::timing::WallTime resolvedAt_{};
    // The highest revision that each node is known to have served, for its successor on that VM.
    std::map<core::identity::NodeId, core::identity::Revision> servedRevisions_;
    // The digest of each peer's member table at the last exchange with it.
    std::map<core::identity::NodeId, std::uint64_t> peerDigests_;
    core::timing::MonotonicTime lastMemberFetch_{};
    ByteRateLimiter exchangeRateLimiter_;
    // Whether there is a durable store that nodes follow, and whether this node does so now.
    bool hasDurableStore_ = false;
    bool isFollower_ = false;
    // Whether news arrived that must not wait for the next exchange.
    bool isUrgentExchangeDue_ = false;
    bool isLeaving_ = false;
    std::vector<std::unique_ptr<Timer>> activeTimers_;
};

} // namespace boragetrack::control::distribution
