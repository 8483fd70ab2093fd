/** Decides when a node serves an intent and whom it passes it to. */
#pragma once

#include "control/distribution/EnvelopeReplica.h"
#include "control/distribution/IntentReplica.h"
#include "control/distribution/PeerTransport.h"
#include "core/timing/MonotonicTime.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace boragetrack::control::distribution {

/**
    Spreads intents and keeps a node from serving an older one than it served before.

    A starting node serves nothing until its peers told it the highest revision that they hold or
    know its forerunner to have served, and it holds that revision. An intent read from the platform
    is served once one peer holds it too, so that a restart right after can not fall behind it.
*/
class IntentPropagator
{
public:
    /** Receives what the spreader decides. */
    class Listener
    {
    public:
        virtual ~Listener() = default;

        /** Handles that the held intent is now to be served. */
        virtual void intentInForce() = 0;

        /** Handles that an offered intent was refused. */
        virtual void intentRefused() = 0;
    };

    /** Returns the peers that new intents are pushed to. */
    using PeerSource = std::function<std::vector<PeerContact>()>;

    /** How long a node that follows the store lets a peer be ahead: the store's own news may be a
        little later here. */
    static constexpr std::chrono::milliseconds toleratedLag{700};

    /** How long an asked peer has to answer before the same revision is asked for again. */
    static constexpr std::chrono::milliseconds fetchTimeout{400};

    /** How long a node that reaches no peer waits before it serves what the platform holds. */
    static constexpr std::chrono::milliseconds isolationTimeout{2000};

    /** @param replica holds the intent; by default as one envelope */
    IntentPropagator(PeerTransport &transport, Listener &listener, PeerSource peers,
                     std::unique_ptr<IntentReplica> replica = std::make_unique<EnvelopeReplica>())
        : transport_(transport)
        , listener_(listener)
        , peers_(std::move(peers))
        , replica_(std::move(replica))
    {}

    /** Begins the wait for peers' floors. */
    void start(core::timing::MonotonicTime now) { startedAt_ = now; }

    /** Takes an envelope read from the platform. */
    void offerFromStore(const std::string &text, core::timing::MonotonicTime now);

    /** Notes that the replica took news from a store that loses nothing which it acknowledged: the
        intent may be served at once, and no floor of a peer can be above it. */
    void recordDurableUpdate(OfferResult result, core::timing::MonotonicTime now);

    /** Takes a transfer from a peer. */
    void offerFromPeer(const PeerContact &peer, const IntentTransfer &transfer,
                       core::timing::MonotonicTime now);

    /** Compares revisions with a peer and sends or asks for what is missing. */
    void compareRevisions(const PeerContact &peer, core::identity::Revision peerRevision,
                          core::timing::MonotonicTime now);

    /** Tells that this node follows a durable store, so that peers are only asked for what the
        store does not bring in time. @param isReachable whether the store answers at present */
    void setStoreReachable(bool isReachable);

    /** Notes a peer's knowledge of the floor. */
    void raiseMinimumRevision(core::identity::Revision minimum, core::timing::MonotonicTime now);

    /** Notes that a peer answered a push and the revision that it holds now. */
    void recordPushResponse(core::identity::Revision peerRevision, core::timing::MonotonicTime now);

    /** Re-examines whether the held intent may be served. */
    void tick(core::timing::MonotonicTime now);

    /** Returns the held intent. */
    const IntentReplica &replica() const { return *replica_; }

    /** Returns the revision in force on this node; zero before the first. */
    core::identity::Revision servedRevision() const { return servedRevision_; }

private:
    void apply(const std::string &text, bool isConfirmed, core::timing::MonotonicTime now);
    void compareWhileFollowingStore(const PeerContact &peer, core::identity::Revision peerRevision,
                                    core::timing::MonotonicTime now);
    void fetchIfLagging(core::timing::MonotonicTime now);
    void pushToAll(core::identity::Revision previous);
    void serveIfAllowed(core::timing::MonotonicTime now);
    bool isServingAllowed(core::timing::MonotonicTime now) const;
    void fetchFrom(const PeerContact &peer, core::identity::Revision target,
                   core::timing::MonotonicTime now);

    PeerTransport &transport_;
    Listener &listener_;
    PeerSource peers_;
    // Invariant: never null.
    std::unique_ptr<IntentReplica> replica_;
    core::timing::MonotonicTime startedAt_{};
    core::timing::MonotonicTime heldSince_{};
    // Invariant: never above replica_.revision() and never falls.
    core::identity::Revision servedRevision_;
    core::identity::Revision minimumRevision_;
    // The highest revision that another node is known to hold.
    core::identity::Revision confirmedRevision_;
    // Whether the held intent says something that is not served yet.
    bool hasUnservedContent_ = false;
    // The newest revision that a peer was asked for, and when.
    core::identity::Revision fetchedRevision_;
    core::timing::MonotonicTime fetchedAt_{};
    bool isMinimumKnown_ = false;
    bool followsStore_ = false;
    bool isStoreReachable_ = false;
    // The peer that was first seen to be ahead of this node, if one is, what it held and when.
    struct AheadPeer
    {
        PeerContact peer;
        core::identity::Revision revision;
        core::timing::MonotonicTime since;
    };
    std::optional<AheadPeer> aheadPeer_;
};

} // namespace boragetrack::control::distribution
