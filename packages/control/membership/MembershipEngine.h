/** Decides what a node believes of the members and what it tells them. */
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

/** Keeps the member table by news from others, own probes and the upstream's announcements. */
class MembershipEngine
{
public:
    /** Receives changes of what is believed of the members. */
    class Listener
    {
    public:
        virtual ~Listener() = default;

        /** Handles a displaced record; previous is null for a new member. */
        virtual void memberChanged(const MemberRecord *previous, const MemberRecord &record) = 0;

        /** Handles that half of a data centre became unreachable at once. */
        virtual void dataCentreSilent(const core::identity::DataCentreId &dataCentre) = 0;
    };

    MembershipEngine(MemberRecord self, std::unique_ptr<NeighbourPolicy> neighbours,
                     Listener &listener);

    /** Returns this node's own record. */
    const MemberRecord &self() const { return self_; }

    /** Returns all known members, this node included. */
    const MemberTable &table() const { return table_; }

    /** Returns this node's neighbours. */
    const std::vector<core::identity::NodeId> &neighbours() const { return neighbourIds_; }

    /** Publishes what the upstream beside this node announced. */
    void setUpstream(const UpstreamRecord &upstream);

    /** Publishes that this node leaves. */
    void leave();

    /** Merges records that another node sent. */
    void mergeRecords(const std::vector<MemberRecord> &records, core::timing::MonotonicTime now);

    /** Merges records that this node fetched to mend its table. They are old news to the others, so
        only departures among them are passed on. */
    void mergeFetched(const std::vector<MemberRecord> &records, core::timing::MonotonicTime now);

    /** Merges suspicions that another node sent. */
    void mergeSuspicions(const std::vector<Suspicion> &suspicions, core::timing::MonotonicTime now);

    /** Notes that a member was heard of directly. */
    void recordContact(const core::identity::NodeId &id, core::timing::MonotonicTime now);

    /** Notes that a member could not be reached. */
    void recordContactFailure(const core::identity::NodeId &id, core::timing::MonotonicTime now);

    /** Returns the members that this node should contact itself, and forgets them. */
    std::vector<core::identity::NodeId> takeProbeTargets();

    /** Takes the suspicions that this node did not share and only passes on to their subject, which
        refutes them. */
    std::vector<Suspicion> takeDisputedSuspicions(const core::identity::NodeId &subject);

    /** Decides on deaths and forgets members that are long dead. */
    void tick(core::timing::MonotonicTime now);

    /** Takes news to send, the most urgent first. */
    void takeGossip(std::size_t maximum, std::vector<MemberRecord> &records,
                    std::vector<Suspicion> &suspicions);

private:
    void mergeUnlessDisputed(const MemberRecord &record, core::timing::MonotonicTime now,
                             bool isForwarded);
    // Keeps a suspicion that this node does not share for its subject, which refutes it.
    void dispute(const Suspicion &suspicion);
    bool hasRecentContact(const core::identity::NodeId &id, core::timing::MonotonicTime now) const;
    bool merge(const MemberRecord &record, core::timing::MonotonicTime now,
               bool isForwarded = true);
    void refute(const MemberRecord &received);
    void publishSelf(GossipPriority priority);
    void enqueueGossip(const MemberRecord &record, GossipPriority priority);
    void setState(const core::identity::NodeId &id, MemberState state,
                  core::timing::MonotonicTime now);
    void reportSilentDataCentres();
    int transmissionCount() const;

    MemberRecord self_;
    std::unique_ptr<NeighbourPolicy> neighbourPolicy_;
    Listener &listener_;
    MemberTable table_;
    FailureDetector detector_;
    GossipQueue gossip_;
    // Invariant: what the policy chooses for table_.
    std::vector<core::identity::NodeId> neighbourIds_;
    std::set<core::identity::NodeId> probeTargets_;
    std::map<core::identity::NodeId, core::timing::MonotonicTime> lastContacts_;
    std::map<core::identity::NodeId, Suspicion> disputed_;
    std::set<core::identity::DataCentreId> silentDataCentres_;
    std::map<core::identity::NodeId, core::timing::MonotonicTime> departedAt_;
};

} // namespace boragetrack::control::membership
