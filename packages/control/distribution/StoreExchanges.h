/** The exchanges by which nodes learn of the durable store from each other. */
#pragma once

#include "control/distribution/ExchangePurpose.h"
#include "control/distribution/IndirectReads.h"
#include "control/distribution/StoreAwareness.h"

#include <map>

namespace boragetrack::control::distribution {

/** Polls the followers, tells other nodes of updates and asks them to read the store. */
class StoreExchanges
{
public:
    /** Sends the exchanges. */
    class Sender
    {
    public:
        virtual ~Sender() = default;

        /** Sends an exchange without gossip; does nothing for a node that is not a member. */
        virtual void sendExchange(const core::identity::NodeId &receiver, ExchangePurpose purpose)
                = 0;
    };

    /** @param store, @param members, @param timers and @param sender must outlive this object */
    StoreExchanges(StoreAwareness &store, const membership::MembershipEngine &members,
                   core::timing::TimerService &timers, Sender &sender, std::uint64_t randomSeed)
        : store_(store)
        , timers_(timers)
        , sender_(sender)
        , reads_(members, store.role(), randomSeed)
    {}

    /** Returns whether the store has not served this node since a call that it did not serve. */
    bool isProofMissing() const { return reads_.isProofMissing(); }

    /** Polls a follower or the prober. Called once in a poll period. */
    void poll();

    /** Asks further nodes to read the store if a proof is overdue. */
    void update();

    /** Tells the other followers, and the nodes that rely on this one, of changes that came from
        the store. */
    void announceUpdate();

    /** Tells the nodes that rely on this one of changes that came from a peer. */
    void relayUpdate();

    /** Handles that the store did not serve a call of this node. */
    void proofMissing();

    /** Handles that the store served a call of this node. @param askedAt when it was sent */
    void storeContacted(core::timing::MonotonicTime askedAt);

    /** Handles a request of another node. */
    void requestReceived(const Exchange &request);

    /** Handles a response. */
    void responseReceived(const Exchange &response);

private:
    StoreAwareness &store_;
    core::timing::TimerService &timers_;
    Sender &sender_;
    IndirectReads reads_;
    // When nodes asked for a read that has not been served yet.
    std::map<core::identity::NodeId, core::timing::MonotonicTime> readRequests_;
};

} // namespace boragetrack::control::distribution
