/** A node's view of the members and the gossip that it sends about them. */
#pragma once

#include "control/membership/FailureDetector.h"
#include "control/membership/GossipQueue.h"
#include "control/membership/MemberTable.h"
#include "control/membership/NeighbourPolicy.h"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace boragetrack::control::membership {

/** Maintains the member table from gossip, this node's own contacts and the announcements of its
    upstream. */
class MembershipEngine
{
public:
    /** Receives changes of the view. */
    class Listener
    {
    public:
        virtual ~Listener() = default;

        /** Handles a new or changed member.
            @param previous the replaced record, or null for a new member */
        virtual void memberChanged(const MemberRecord *previous, const MemberRecord &record) = 0;

        /** Handles that half or more of a data centre's members became suspect. */
        virtual void dataCentreSilent(const core::identity::DataCentreId &dataCentre) = 0;
    };

    MembershipEngine(MemberRecord self, std::unique_ptr<NeighbourPolicy> neighbours,
                     Listener &listener);

    /** Returns this node's own record. */
    const MemberRecord &self() const { return self_; }

    /** Returns all known members, including this node. */
    const MemberTable &table() const { return table_; }

    /** Returns this node's neighbours. */
    const std::vector<core::identity::NodeId> &neighbours() const { return neighbourIds_; }

    /** Publishes the announced state of the node's upstream. */
    void setUpstream(const UpstreamRecord &upstream);

    /** Publishes that this node is leaving. */
    void leave();

    /** Merges records that another node sent. */
    void mergeRecords(const std::vector<MemberRecord> &records, core::timing::MonotonicTime now);

    /** Merges records that this node fetched to synchronise its table. Other nodes know them
        already, so only departures and suspicions are forwarded. */
    void mergeFetched(const std::vector<MemberRecord> &records, core::timing::MonotonicTime now);

    /** Merges suspicions that another node sent. */
    void mergeSuspicions(const std::vector<Suspicion> &suspicions, core::timing::MonotonicTime now);

    /** Records direct contact with a member. */
    void recordContact(const core::identity::NodeId &id, core::timing::MonotonicTime now);

    /** Records a failed attempt to reach a member. */
    void recordContactFailure(const core::identity::NodeId &id, core::timing::MonotonicTime now);

    /** Removes and returns the members that this node should probe. */
    std::vector<core::identity::NodeId> takeProbeTargets();

    /** Removes and returns the suspicion that this node disputes, for its subject to refute; empty
        if there is none. */
    std::vector<Suspicion> takeDisputedSuspicions(const core::identity::NodeId &subject);

    /** Decides which suspects are dead and removes members that departed long ago. */
    void tick(core::timing::MonotonicTime now);

    /** Appends the most urgent gossip to the parameters and counts one transmission of each entry.
        @param maximum the maximum number of records */
    void takeGossip(std::size_t maximum, std::vector<MemberRecord> &records,
                    std::vector<Suspicion> &suspicions);

private:
    void mergeUnlessDisputed(const MemberRecord &record, core::timing::MonotonicTime now,
                             bool isForwarded);
    // Keeps a disputed suspicion for its subject, which will refute it, and does not forward it.
    void dispute(const Suspicion &suspicion);
    bool hasRecentContact(const core::identity::NodeId &id, core::timing::MonotonicTime now) const;
    bool merge(const MemberRecord &record, core::timing::MonotonicTime now,
               bool isForwarded = true);
    void refute(const MemberRecord &received);
    void publishSelf(GossipPriority priority);
    void enqueueGossip(const MemberRecord &record, GossipPriority priority);
    void setState(const core::identity::NodeId &id, MemberState state,
                  core::timing::MonotonicTime now);
    void refreshDerivedState();
    void reportSilentDataCentres();
    int transmissionCount() const;

    MemberRecord self_;
    std::unique_ptr<NeighbourPolicy> neighbourPolicy_;
    Listener &listener_;
    MemberTable table_;
    FailureDetector detector_;
    GossipQueue gossip_;
    // Invariant: the neighbours that the policy chooses for table_, unless the derived state is
    // stale.
    std::vector<core::identity::NodeId> neighbourIds_;
    // Whether neighbourIds_ and silentDataCentres_ lack changes of table_; false between calls.
    bool isDerivedStateStale_ = false;
    std::set<core::identity::NodeId> probeTargets_;
    std::map<core::identity::NodeId, core::timing::MonotonicTime> lastContacts_;
    std::map<core::identity::NodeId, Suspicion> disputed_;
    std::set<core::identity::DataCentreId> silentDataCentres_;
    std::map<core::identity::NodeId, core::timing::MonotonicTime> departedAt_;
};

} // namespace boragetrack::control::membership
