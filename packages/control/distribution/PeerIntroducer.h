/** Early contacts of nodes that have just started. */
#pragma once

#include "core/identity/NetworkAddress.h"
#include "core/timing/MonotonicTime.h"

#include <chrono>
#include <map>
#include <random>
#include <vector>

namespace boragetrack::control::distribution {

/**
    Selects nodes to contact soon because they may have started without knowing any other node.

    A node that starts while the store is out waits until one that knows its address contacts it.
    Neighbours do that within seconds. Nodes that start together therefore contact each other as
    soon as one of them has learnt the addresses, so that the number of those that know doubles at
    least with each round. A node that was lost is contacted likewise until it responds.

    Nodes that read the store find each other without this, so that the owner reports the members
    that a process finds only until it has read the store, and those in records of the store with a
    delay.
*/
class PeerIntroducer
{
public:
    /** The number of nodes contacted in one round; rounds are 200 ms apart. */
    static constexpr std::size_t contactsPerRound = 3;

    /** The number of contacts with found nodes by one process. Nodes are drawn at random, so that
        in a herd each is contacted by about as many others. */
    static constexpr int maximumContacts = 48;

    /** The time between two contacts of a node that was found, and how often they are repeated. */
    static constexpr std::chrono::milliseconds foundRetryPeriod{500};
    static constexpr int foundAttempts = 4;

    /** The same for a node that was lost; a process takes some hundred milliseconds to start again.
     */
    static constexpr std::chrono::milliseconds lostRetryPeriod{200};
    static constexpr int lostAttempts = 20;

    /** The number of nodes, on average, that contact a lost one. */
    static constexpr std::size_t contactsOfLostNode = 12;

    /** The delay before nodes in records of the store are contacted; most of them contact this node
        meanwhile, or are gossiped about. */
    static constexpr std::chrono::milliseconds recordDelay{400};

    /** The time after the start of the process in which it contacts members that it finds. */
    static constexpr std::chrono::milliseconds startPeriod{10'000};

    /** @param random must outlive the introducer */
    explicit PeerIntroducer(std::mt19937_64 &random)
        : random_(random)
    {}

    /** Begins the start period. */
    void start(core::timing::MonotonicTime now) { startedAt_ = now; }

    /** Handles a node that this process did not know; ignored after the start period.
        @param delay the time until the first contact */
    void nodeFound(const core::identity::NetworkAddress &address, core::timing::MonotonicTime now,
                   std::chrono::milliseconds delay = {});

    /** Handles that the link to a node has ended.
        @param memberCount the number of members; a random part of them contacts the node */
    void nodeLost(const core::identity::NetworkAddress &address, std::size_t memberCount,
                  core::timing::MonotonicTime now);

    /** Handles contact with a node in either direction, or that others are in contact with it; it
        needs no other one. */
    void recordContact(const core::identity::NetworkAddress &address);

    /** Returns the nodes to contact in this round, in random order. */
    std::vector<core::identity::NetworkAddress> takeRound(core::timing::MonotonicTime now);

private:
    struct Introduction
    {
        core::timing::MonotonicTime dueAt;
        std::chrono::milliseconds retryPeriod;
        int remainingAttempts;
        bool isLost;
    };

    // Returns whether the node is still to be contacted.
    bool recordAttempt(const core::identity::NetworkAddress &address,
                       core::timing::MonotonicTime now);

    std::mt19937_64 &random_;
    core::timing::MonotonicTime startedAt_{};
    // The nodes that are still to be contacted.
    std::map<core::identity::NetworkAddress, Introduction> introductions_;
    // The number of contacts with found nodes that this process may still make.
    int remainingContacts_ = maximumContacts;
};

} // namespace boragetrack::control::distribution
