/** Propagation of the intent between peers, and the rules for putting a revision in force. */
#pragma once

#include "control/distribution/EnvelopeReplica.h"
#include "control/distribution/IntentReplica.h"
#include "control/distribution/IntentWait.h"
#include "control/distribution/PeerTransport.h"
#include "core/timing/MonotonicTime.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace boragetrack::control::distribution {

/**
    Propagates intents and keeps a node from serving an older revision than it served before.

    A starting node waits until a peer has reported the highest revision that it holds or that this
    node's previous process reported, and serves nothing below that minimum. An intent read from the
    platform is served once one peer holds it as well, so that a node that restarts right afterwards
    cannot fall back behind it. Both waits end after isolationTimeout.

    A durable store may hold an older intent under a later revision. The operators' numbers decide
    there: peers tell theirs, and the intent with a higher one is fetched from them.

    Where there is a durable store, the minimum binds a starting node for minimumWait only: the
    nodes that held it may all have ended, and the store, which has it, may not respond for long. A
    process that has served an intent never serves an older one.
*/
class IntentPropagator
{
public:
    /** Receives the decisions of the propagator. */
    class Listener
    {
    public:
        virtual ~Listener() = default;

        /** Handles that the held intent is in force from now on. */
        virtual void intentInForce() = 0;

        /** Handles that an offered intent was refused in whole or in part. */
        virtual void intentRefused() = 0;
    };

    /** Returns the peers that new intents are pushed to. */
    using PeerSource = std::function<std::vector<PeerContact>()>;

    /** How long a node that follows the store tolerates a peer that is ahead: the follower's delay
        between two watches, and a slightly later update. */
    static constexpr std::chrono::milliseconds toleratedLag{400};

    /** The time after which a fetch of the same revision may be retried, from another node if
        several hold it: the link to the first one may be silent. */
    static constexpr std::chrono::milliseconds fetchTimeout{250};

    /** The number of nodes that are remembered as holders of a later revision. */
    static constexpr std::size_t maximumHolders = 4;

    /** How long a node without reachable peers waits before it serves the platform's intent. */
    static constexpr std::chrono::milliseconds isolationTimeout{2000};

    /** How long a starting node with a durable store looks for a live node that holds the minimum
        revision, once it holds an intent itself. Such a node passes its intent on within
        milliseconds. */
    static constexpr std::chrono::milliseconds minimumWait{600};

    /** How long a starting node that has read the store waits for the first contact with a peer.
        Peers respond within milliseconds, from other data centres within a tenth of a second. */
    static constexpr std::chrono::milliseconds peerWait{300};

    /** @param transport and @param listener must outlive the propagator
        @param peers the peers to push to
        @param replica stores the intent; an EnvelopeReplica by default */
    IntentPropagator(PeerTransport &transport, Listener &listener, PeerSource peers,
                     std::unique_ptr<IntentReplica> replica = std::make_unique<EnvelopeReplica>())
        : transport_(transport)
        , listener_(listener)
        , peers_(std::move(peers))
        , replica_(std::move(replica))
    {}

    /** Starts the time limit for learning the minimum revision from peers. */
    void start(core::timing::MonotonicTime now) { startedAt_ = now; }

    /** Handles an envelope read from the platform. */
    void offerFromStore(const std::string &text, core::timing::MonotonicTime now);

    /** Handles an update from a durable store. The store loses no acknowledged write, so the intent
        may be served immediately and a higher minimum revision is lowered to the held one.
        @param result the result of merging the update into the replica */
    void recordDurableUpdate(OfferResult result, core::timing::MonotonicTime now);

    /** Handles a transfer from a peer; fetches the whole intent if the patch does not apply. */
    void offerFromPeer(const PeerContact &peer, const IntentTransfer &transfer,
                       core::timing::MonotonicTime now);

    /** Compares revisions with a peer and pushes or fetches the missing changes. */
    void compareRevisions(const PeerContact &peer, core::identity::Revision peerRevision,
                          core::timing::MonotonicTime now);

    /** Compares the operators' number of a peer's intent with the held one. A higher one at a
       revision that this node has reached shows that it can't come from the store any more; the
       peer's records are fetched.
        @param peerRevision the revision that the peer holds; zero if it holds no intent */
    void compareNumbers(const PeerContact &peer, core::identity::Revision peerRevision,
                        core::identity::IntentNumber number, core::timing::MonotonicTime now);

    /** Lets a starting node serve the store's intent only once a peer that holds one has told its
        number, or after peerWait. */
    void awaitPeers(core::timing::MonotonicTime now);

    /** Marks this node as following a durable store; peers are then only asked for changes that the
        store does not deliver in time.
        @param isReachable whether this node currently receives updates from the store */
    void setStoreReachable(bool isReachable);

    /** Raises the minimum revision to one that a peer reported; a starting node then stops waiting
        for reports.
        @param reporter the peer, for operators */
    void raiseMinimumRevision(core::identity::Revision minimum, core::timing::MonotonicTime now,
                              const core::identity::NodeId &reporter = {});

    /** Handles a peer's response to a push. @param peerRevision the revision that the peer holds */
    void recordPushResponse(core::identity::Revision peerRevision, core::timing::MonotonicTime now);

    /** Fetches overdue changes and puts the held intent in force when that is allowed. */
    void tick(core::timing::MonotonicTime now);

    /** Returns why no intent is served, or nothing once one is. */
    std::optional<IntentWait> waitAt(core::timing::MonotonicTime now) const;

    /** Returns the replica of the intent. */
    const IntentReplica &replica() const { return *replica_; }

    /** Returns the revision in force on this node; zero before the first one. */
    core::identity::Revision servedRevision() const { return servedRevision_; }

private:
    void apply(const std::string &text, bool isConfirmed, core::timing::MonotonicTime now);
    void compareWhileFollowingStore(const PeerContact &peer, core::identity::Revision peerRevision,
                                    core::timing::MonotonicTime now);
    void fetchIfLagging(core::timing::MonotonicTime now);
    const PeerContact &holderToAsk() const;
    void pushToAll(core::identity::Revision previous);
    void serveIfAllowed(core::timing::MonotonicTime now);
    bool isServingAllowed(core::timing::MonotonicTime now) const;
    bool isMinimumBinding(core::timing::MonotonicTime now) const;
    bool isNumberAwaited(core::timing::MonotonicTime now) const;
    void fetchFrom(const PeerContact &peer, core::identity::Revision target,
                   core::timing::MonotonicTime now);
    void sendFetch(const PeerContact &peer, core::identity::Revision have);

    PeerTransport &transport_;
    Listener &listener_;
    PeerSource peers_;
    // Invariant: never null.
    std::unique_ptr<IntentReplica> replica_;
    core::timing::MonotonicTime startedAt_{};
    core::timing::MonotonicTime heldSince_{};
    // Invariant: at most replica_->revision(); never decreases.
    core::identity::Revision servedRevision_;
    core::identity::Revision minimumRevision_;
    // When minimumRevision_ was last raised.
    core::timing::MonotonicTime minimumRaisedAt_{};
    core::identity::NodeId minimumReportedBy_;
    // The highest revision that another node is known to hold.
    core::identity::Revision confirmedRevision_;
    // Whether the held intent contains changes that are not in force yet.
    bool hasUnservedContent_ = false;
    // The newest revision that was fetched from a peer, and the time of the request.
    core::identity::Revision fetchedRevision_;
    core::timing::MonotonicTime fetchedAt_{};
    // The highest number that a peer has told and no held revision explains, when it was told
    // first, and when it was last fetched.
    core::identity::IntentNumber minimumNumber_;
    core::timing::MonotonicTime minimumNumberAt_{};
    std::optional<core::timing::MonotonicTime> numberFetchedAt_;
    // Until when a starting node waits for the first peer; nothing once one was in contact.
    std::optional<core::timing::MonotonicTime> peersAwaitedUntil_;
    int fetchCount_ = 0;
    core::identity::NetworkAddress lastFetchFrom_;
    bool isMinimumKnown_ = false;
    bool followsStore_ = false;
    bool isStoreReachable_ = false;
    // The highest revision that a peer was seen ahead with, since when peers have been ahead, and
    // the peers that hold that revision, the last one seen at the end. Nothing if no peer is ahead.
    struct LaterRevision
    {
        core::identity::Revision revision;
        core::timing::MonotonicTime since;
        // Invariant: at least one and at most maximumHolders, with different addresses.
        std::vector<PeerContact> holders;
    };
    std::optional<LaterRevision> later_;
};

} // namespace boragetrack::control::distribution
