/** The entry point of a node's control decisions, used by the daemon and the scenario runner. */
#pragma once

#include "control/distribution/ByteRateLimiter.h"
#include "control/distribution/DepartureMemory.h"
#include "control/distribution/EvaluatorGroup.h"
#include "control/distribution/IntentComparison.h"
#include "control/distribution/IntentPropagator.h"
#include "control/distribution/PeerIntroducer.h"
#include "control/distribution/PeerSelector.h"
#include "control/distribution/PeerTransport.h"
#include "control/distribution/StoreAwareness.h"
#include "control/distribution/StoreExchanges.h"
#include "control/intent/IntentSnapshot.h"
#include "control/membership/MembershipEngine.h"
#include "control/moves/MoveCoordinator.h"
#include "core/timing/ScopedTimer.h"

#include <memory>
#include <random>

namespace boragetrack::control::distribution {

/**
    Combines membership, intent propagation and moves, driven by timers and peer messages.

    All methods are called on the control thread. The object performs no input or output: it sends
    to peers through PeerTransport and reports to its owner through Listener.
*/
class ControlPlane : private IntentPropagator::Listener,
                     private membership::MembershipEngine::Listener,
                     private moves::MoveCoordinator::Listener,
                     private StoreExchanges::Sender
{
public:
    /** Receives the decisions of the control plane. Called on the control thread. */
    class Listener
    {
    public:
        virtual ~Listener() = default;

        /** Handles a change of the intent, the members or the shares that affects routing. */
        virtual void viewChanged() = 0;

        /** Handles that a newer intent is in force on this node. */
        virtual void intentInForce() = 0;

        /** Handles that another node holds a later revision than this one. */
        virtual void laterRevisionReported() {}

        /** Handles that another node asks this one to read the durable store for it. */
        virtual void storeReadRequested() {}

        /** Handles the refusal of an intent; the previous one stays in force. */
        virtual void intentRefused() = 0;

        /** Handles a changed member.
            @param previous the replaced record, or null for a new member */
        virtual void memberChanged(const membership::MemberRecord *previous,
                                   const membership::MemberRecord &record)
                = 0;

        /** Handles that half or more of a data centre's members became suspect. */
        virtual void dataCentreSilent(const core::identity::DataCentreId &dataCentre) = 0;

        /** Handles that a version was found bad; no further call may be routed to it. */
        virtual void moveStopped(const intent::MoveIntent &move, const std::string &evidence) = 0;
    };

    /** Returns why this process serves no intent, or nothing once it serves one. */
    std::optional<IntentWait> intentWait() const { return propagator_.waitAt(timers_.now()); }

    /** Returns how many exchanges came from nodes that neither tell their address nor are known, so
        that nothing could be asked of them. */
    int exchangesWithoutAddress() const { return exchangesWithoutAddress_; }

    /** Returns the wall clock time that the schedules of moves are compared with. */
    using WallClock = std::function<core::timing::WallTime()>;

    /** The collaborators and parameters of a control plane. */
    struct Dependencies
    {
        membership::MemberRecord self;
        std::vector<core::identity::NetworkAddress> seeds;
        std::unique_ptr<membership::NeighbourPolicy> neighbours;
        std::unique_ptr<moves::MovePolicies> movePolicies;
        WallClock wallClock;
        std::uint64_t randomSeed = 0;
        /** Stores the intent; an EnvelopeReplica by default. */
        std::unique_ptr<IntentReplica> replica = std::make_unique<EnvelopeReplica>();
    };

    /** The interval of periodic exchanges, each with one peer. */
    static constexpr std::chrono::milliseconds exchangePeriod{1000};
    /** The interval of decisions that depend on time. */
    static constexpr std::chrono::milliseconds decisionPeriod{200};
    /** Without a decision for this long, the process was paused. */
    static constexpr std::chrono::milliseconds maximumDecisionGap = 4 * decisionPeriod;

    ControlPlane(Dependencies dependencies, PeerTransport &transport,
                 core::timing::TimerService &timers, Listener &listener);
    ~ControlPlane() override;

    /** Contacts the seeds and starts the periodic timers. */
    void start();

    /** Announces to the neighbours that this node is leaving. */
    void leave();

    //==============================================================================
    /** Handles a value of the intent's key that was read from the platform. */
    void storeValueReceived(const std::string &text);

    /** Begins the handling of an update from the durable store; called before the contact that came
        with it is reported. */
    void storeUpdateArrived() { store_.beginUpdate(); }

    /** Handles an update that the replica received from the durable store.
        @param result the result of merging the update into the replica
        @param origin the kind of call that returned the update */
    void storeUpdateReceived(OfferResult result, records::ChangeOrigin origin);

    /** Handles that the store lists other nodes, before the update with that listing. The first of
        them to respond may have a newer intent than the store. */
    void peersExpected();

    /** Sets whether this node is following the durable store and can reach it. */
    void storeFollowingChanged(bool isFollowed);

    /** Handles that the durable store responded to this node. @param askedAt when the call was sent
     */
    void storeContacted(core::timing::MonotonicTime askedAt)
    {
        storeExchanges_.storeContacted(askedAt);
    }

    /** Handles that the durable store did not serve a call which would have shown that no change is
        missing. */
    void storeProofMissing();

    /** Returns when the durable store last confirmed what this node holds, as far as this node or a
        peer that told it was in touch with the store; nothing if there was no contact. */
    std::optional<core::timing::MonotonicTime> lastStoreContact() const
    {
        return store_.lastContact();
    }

    /** Returns whether this node should currently follow the durable store. */
    bool mustFollowStore() const { return store_.role().mustFollow(timers_.now()); }

    /** Returns whether this node is a selected follower, whose address other nodes look up in the
        store. */
    bool isSelectedFollower() const { return store_.role().isSelected(); }

    /** Returns how old a proof that no change is missing may become before this node, as a selected
        follower, reads the store's revision. */
    std::chrono::milliseconds maximumProofAge() const
    {
        return store_.role().maximumProofAge(timers_.now());
    }

    /** Returns what this node knows of the durable store, for logs and operators. */
    StoreKnowledge storeKnowledge() const;

    /** Returns when changes were known elsewhere and came here. */
    const ChangeHistory &changes() const { return store_.changes(); }

    /** Contacts nodes in the store's records that are unknown to this node.
        @param registered the addresses of nodes with a record
        @param known the addresses of other nodes in these records; they are contacted by and by */
    void peersDiscovered(const std::vector<core::identity::NetworkAddress> &registered,
                         const std::vector<core::identity::NetworkAddress> &known);

    /** Returns the addresses of the members that follow this node in the order of their hashes,
        those of its data centre first. */
    std::vector<core::identity::NetworkAddress> nearestPeers(std::size_t maximum) const;

    /** Publishes what the node's upstream announced. Once this node is leaving, only departures are
        published. */
    void upstreamAnnounced(const membership::UpstreamRecord &upstream);

    /** Handles the departures at this node that the store keeps. */
    void storedDeparturesReceived(const std::vector<membership::AnnouncementStamp> &departures)
    {
        departures_.recordStore(departures);
    }

    /** Returns whether the store or peers have told this process which upstream of the node had
        departed before its start. */
    bool knowsEarlierDepartures() const;

    /** Returns whether the store has told this process which upstreams of the node had departed. */
    bool hasReadStoredDepartures() const { return departures_.isStoreRead(); }

    /** Returns whether this process has waited long enough for the store and its peers. */
    bool hasWaitedForDepartures() const { return departures_.hasWaited(timers_.now()); }

    /** Returns the last departure at this node that the store or any peer keeps, whichever process
        of this node published it. */
    const std::optional<membership::AnnouncementStamp> &replicatedDeparture() const
    {
        return departures_.ownDeparture();
    }

    /** Records the outcome of a call to the node's upstream. */
    void callEnded(const moves::CallEvidence &evidence) { moves_.recordCall(evidence); }

    //==============================================================================
    /** Merges another node's exchange. @returns the response */
    Exchange exchangeReceived(const Exchange &request);

    /** Handles the response to an exchange that this node sent. */
    void exchangeResponseReceived(const PeerContact &peer, const Exchange &response);

    /** Handles the failure of an exchange that this node sent. */
    void exchangeFailed(const PeerContact &peer);

    /** Handles that the link to a peer has ended, as it does when the peer's process ends. */
    void peerDisconnected(const core::identity::NetworkAddress &address);

    /** Handles an intent that a peer pushed, or sent on request.
        @returns the revision held afterwards */
    core::identity::Revision intentReceived(const PeerContact &peer,
                                            const IntentTransfer &transfer);

    /** Handles a peer's response to a push. @param peerRevision the revision that the peer holds */
    void pushResponseReceived(core::identity::Revision peerRevision);

    /** Handles that a peer has a later intent in force than this node, as a response to a call has
        shown. @param revision the revision of that intent, which the peer holds */
    void laterIntentSeen(const PeerContact &peer, core::identity::Revision revision);

    /** Handles the members that a peer sent on request. */
    void membersReceived(const std::vector<membership::MemberRecord> &records);

    /** Returns the intent, in full or as a patch, for a peer that holds an earlier revision. */
    IntentTransfer transferSince(core::identity::Revision have) const
    {
        return propagator_.replica().transferSince(have);
    }

    //==============================================================================
    /** Returns the intent in force; revision zero before the first one. Never null. */
    const std::shared_ptr<const intent::IntentSnapshot> &snapshot() const { return snapshot_; }

    /** Returns the number of the intent in force and for how long it has been that. */
    IntentInForce inForce() const;

    /** Returns how the intent in force compares with those of other nodes. */
    const IntentComparison &comparison() const { return comparison_; }

    /** Returns the membership of this node. */
    const membership::MembershipEngine &membership() const { return membership_; }

    /** Returns the replica, with the held intent and the last refusal. */
    const IntentReplica &replica() const { return propagator_.replica(); }

    /** Returns the wall clock time that the schedules of moves are compared with. */
    core::timing::WallTime wallTime() const { return wallClock_(); }

    /** Returns whether this node must watch the intent's key; used with the native format of the
        intent only. */
    bool mustWatchIntentKey() const;

    /** Returns whether a move is active, so that call outcomes have to be recorded. */
    bool followsMoves() const { return moves_.isActive(); }

    /** Returns the current split of a route's calls to a service between versions. */
    moves::RouteShare shareOf(const intent::Route &route,
                              const core::identity::ServiceName &service) const;

    /** Returns the outcomes of moves that are missing in the intent and that this node should
        record. */
    std::vector<moves::MoveRecord> pendingMoveRecords();

    /** Returns the member records that differ from a peer's table, as far as bucket hashes can
        distinguish them.
        @param hashes the bucket hashes of the peer's table */
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

    void sendExchange(const core::identity::NodeId &receiver, ExchangePurpose purpose) override;
    void memberFound(const membership::MemberRecord &record);
    void exchangeTick(core::timing::MonotonicTime now);
    void pollTick(core::timing::MonotonicTime /*now*/) { storeExchanges_.poll(); }
    void decisionTick(core::timing::MonotonicTime now);
    void sendEvidence();
    void sendUrgentExchanges();
    void sendIntroductions(core::timing::MonotonicTime now);
    void sendOwnRecord();
    void sendExchangeTo(const PeerContact &peer, std::size_t maximumGossip);
    void mergeExchange(const PeerContact &peer, const Exchange &exchange);
    void fetchMembersFromUnknown(const PeerContact &peer);
    void fetchMembersIfDiffering(const PeerContact &peer, std::uint64_t digest);
    bool wasPaused() const;
    void recordHeldRevision();
    Exchange makeExchange(const core::identity::NodeId &receiver, std::size_t maximumGossip);

    PeerTransport &transport_;
    core::timing::TimerService &timers_;
    Listener &listener_;
    WallClock wallClock_;
    std::mt19937_64 random_;
    membership::MembershipEngine membership_;
    PeerSelector peers_;
    PeerIntroducer introducer_;
    StoreAwareness store_;
    StoreExchanges storeExchanges_;
    DepartureMemory departures_;
    IntentPropagator propagator_;
    moves::MoveCoordinator moves_;
    EvaluatorGroup evaluatorGroup_;
    // Invariant: never null; its revision never decreases.
    std::shared_ptr<const intent::IntentSnapshot> snapshot_;
    IntentComparison comparison_;
    // Since when the intent in snapshot_ is in force; nothing before the first one.
    std::optional<core::timing::MonotonicTime> inForceSince_;
    // The time of the last resolution of snapshot_; exceptions that had expired by then have no
    // effect in it.
    core::timing::WallTime resolvedAt_{};
    // The highest revision reported by each node. A restarted node gets its own number back from
    // its peers and serves no older revision.
    std::map<core::identity::NodeId, core::identity::Revision> servedRevisions_;
    // Where the update that is being handled, or the last one, came from.
    ChangeSource updateSource_;
    // The digest of each peer's member table at the last exchange with that peer.
    std::map<core::identity::NodeId, std::uint64_t> peerDigests_;
    core::timing::MonotonicTime lastMemberFetch_{};
    core::timing::MonotonicTime lastUnknownMemberFetch_{};
    core::timing::MonotonicTime lastDecisionAt_{};
    ByteRateLimiter exchangeRateLimiter_;
    // Whether a change is waiting to be sent before the next periodic exchange.
    bool isUrgentExchangeDue_ = false;
    bool isLeaving_ = false;
    int exchangesWithoutAddress_ = 0;
    std::vector<std::unique_ptr<Timer>> activeTimers_;
};

} // namespace boragetrack::control::distribution
