/** Memory of departed upstreams that survives the restart of a node, since its peers keep it. */
#pragma once

#include "control/membership/MemberRecord.h"
#include "core/timing/MonotonicTime.h"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace boragetrack::control::distribution {

/**
    Keeps the last departure that each other node published, also when a new process of that node
    publishes a record without it, and collects what the peers keep for this node.

    A node acknowledges a departure once a peer keeps it. Its next process can then tell a late
    announcement of the departed upstream from a current one, as soon as it has heard from some
    peers.
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

    /** How long a new process waits for its peers. A node without peers would never use its
        upstream otherwise. */
    static constexpr std::chrono::milliseconds maximumWait{2000};

    explicit DepartureMemory(core::identity::NodeId self)
        : self_(std::move(self))
    {}

    /** Starts the wait for the peers. */
    void start(core::timing::MonotonicTime now) { startedAt_ = now; }

    /** Keeps the departures in records that another node sent. */
    void rememberFrom(const std::vector<membership::MemberRecord> &records,
                      core::timing::MonotonicTime now);

    /** Returns the last departure at another node, or nothing if none is kept. */
    std::optional<membership::AnnouncementStamp>
    departureAt(const core::identity::NodeId &node) const;

    /** Forgets departures whose retention has passed. */
    void removeExpired(core::timing::MonotonicTime now);

    /** Records that a peer was heard from.
        @param remembered the last departure at this node that the peer keeps */
    void recordPeer(const core::identity::NodeId &peer,
                    const std::optional<membership::AnnouncementStamp> &remembered);

    /** Returns the last departure at this node that any peer keeps. */
    const std::optional<membership::AnnouncementStamp> &ownDeparture() const
    {
        return ownDeparture_;
    }

    /** Returns whether enough peers were heard from since the start, or waited for long enough.
        @param otherMembers the number of other members that are alive */
    bool isComplete(std::size_t otherMembers, core::timing::MonotonicTime now) const;

private:
    struct Entry
    {
        membership::AnnouncementStamp departure;
        core::timing::MonotonicTime publishedAt;
    };

    core::identity::NodeId self_;
    core::timing::MonotonicTime startedAt_{};
    std::map<core::identity::NodeId, Entry> departures_;
    std::optional<membership::AnnouncementStamp> ownDeparture_;
    // Invariant: at most sufficientPeers.
    std::set<core::identity::NodeId> heardPeers_;
};

} // namespace boragetrack::control::distribution
