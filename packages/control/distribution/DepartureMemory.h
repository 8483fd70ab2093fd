/** Memory of departed upstreams that survives the restart of a node, since its peers and the store
    keep it. */
#pragma once

#include "control/membership/MemberRecord.h"
#include "core/timing/MonotonicTime.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace boragetrack::control::distribution {

/**
    Keeps the last departure that each other node published, also when a new process of that node
    publishes a record without it, and collects what the peers and the store keep for this node.

    The next process of a node can then tell a late announcement of the departed upstream from a
    current one, as soon as it has read the store. Peers help while the store does not respond: a
    departure that one of them keeps is certain, but that none keeps one is not, since they may not
    have heard of it.
*/
class DepartureMemory
{
public:
    /** How long a departure is kept after its node published it last. Announcements arrive seconds
        late at most. */
    static constexpr std::chrono::minutes retention{2};

    /** The number of peers from which a new process must hear. Departures spread by urgent gossip
        within a few hundred milliseconds, about the time that a restart takes. */
    static constexpr std::size_t sufficientPeers = 2;

    /** How long a new process waits for the store before it relies on its peers. The store keeps
        each acknowledged departure, whereas a peer may have been cut off when it was published. */
    static constexpr std::chrono::milliseconds storeWait{500};

    /** How long a new process waits for the store and its peers. A node that neither reaches would
        never use its upstream otherwise. */
    static constexpr std::chrono::milliseconds maximumWait{2000};

    /** @param self this node
        @param generation identifies this process of it */
    DepartureMemory(core::identity::NodeId self, std::uint64_t generation)
        : self_(std::move(self))
        , generation_(generation)
    {}

    /** Starts the wait for the store and the peers. */
    void start(core::timing::MonotonicTime now) { startedAt_ = now; }

    /** Keeps the departures in records that another node sent. */
    void rememberFrom(const std::vector<membership::MemberRecord> &records,
                      core::timing::MonotonicTime now);

    /** Returns the last departure at another node, or nothing if none is kept. */
    std::optional<membership::AnnouncementStamp>
    departureAt(const core::identity::NodeId &node) const;

    /** Records that another node's process was replaced.
        @param earlier the generation of the replaced process */
    void recordRestart(const core::identity::NodeId &node, std::uint64_t earlier,
                       core::timing::MonotonicTime now);

    /** Returns the generation of the earliest process of another node that this node has known.
        @param current the generation in the node's current record */
    std::uint64_t knownSince(const core::identity::NodeId &node, std::uint64_t current) const;

    /** Forgets departures and restarts whose retention has passed. */
    void removeExpired(core::timing::MonotonicTime now);

    /** Records that a peer was heard from.
        @param remembered the last departure at this node that the peer keeps
        @param knownSince the generation of the earliest process of this node that the peer has
        known; a peer that knew none before this process can not have kept a departure */
    void recordPeer(const core::identity::NodeId &peer,
                    const std::optional<membership::AnnouncementStamp> &remembered,
                    std::uint64_t knownSince);

    /** Records that the store was read.
        @param kept the departures at this node that it keeps */
    void recordStore(const std::vector<membership::AnnouncementStamp> &kept);

    /** Returns the last departure at this node that the store or any peer keeps. */
    const std::optional<membership::AnnouncementStamp> &ownDeparture() const
    {
        return ownDeparture_;
    }

    /** Returns whether the store was read since the start. */
    bool isStoreRead() const { return isStoreRead_; }

    /** Returns whether the store or enough peers were heard from since the start.
        @param otherMembers the number of other members that are alive */
    bool isComplete(std::size_t otherMembers, core::timing::MonotonicTime now) const;

    /** Returns whether the wait for the store and the peers has ended. */
    bool hasWaited(core::timing::MonotonicTime now) const
    {
        return now - startedAt_ >= maximumWait;
    }

private:
    struct Entry
    {
        membership::AnnouncementStamp departure;
        core::timing::MonotonicTime publishedAt;
    };

    struct Restart
    {
        std::uint64_t earlier;
        core::timing::MonotonicTime at;
    };

    void adopt(const membership::AnnouncementStamp &departure);

    core::identity::NodeId self_;
    std::uint64_t generation_;
    core::timing::MonotonicTime startedAt_{};
    std::map<core::identity::NodeId, Entry> departures_;
    // The earliest replaced process of each node that was restarted.
    std::map<core::identity::NodeId, Restart> restarts_;
    std::optional<membership::AnnouncementStamp> ownDeparture_;
    bool isStoreRead_ = false;
    // The peers heard from that knew an earlier process of this node. Invariant: at most
    // sufficientPeers.
    std::set<core::identity::NodeId> heardPeers_;
};

} // namespace boragetrack::control::distribution
