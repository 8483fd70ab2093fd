/** All moves as a node follows them. */
#pragma once

#include "control/intent/IntentDocument.h"
#include "control/moves/CallEvidence.h"
#include "control/moves/EvidenceTable.h"
#include "control/moves/MoveTracker.h"
#include "control/moves/MoveVerdict.h"
#include "core/identity/NodeId.h"

#include <functional>
#include <map>

namespace boragetrack::control::moves {

/** Counts this node's evidence, merges that of others and decides the shares of all routes. */
class MoveCoordinator
{
public:
    /** Receives what is decided about moves. */
    class Listener
    {
    public:
        virtual ~Listener() = default;

        /** Handles a verdict "bad" that this node reached or learned: no new call may go to the
            version from here on. */
        virtual void moveStopped(const intent::MoveIntent &move, const std::string &evidence) = 0;
    };

    /** Tells whether an upstream of a version serves. */
    using UpstreamQuery = std::function<bool(const core::identity::ServiceName &,
                                             const core::identity::VersionName &)>;

    MoveCoordinator(core::identity::NodeId self, std::uint64_t generation,
                    std::unique_ptr<MovePolicies> policies, Listener &listener);

    /** Takes the moves of a newly served intent. */
    void update(const intent::IntentDocument &document, core::timing::WallTime now);

    /** Notes whether this node judges; one that knows a part only must not. */
    void setEvaluating(bool isEvaluating) { isEvaluating_ = isEvaluating; }

    /** Counts a call to the upstream beside this node. */
    void recordCall(const CallEvidence &evidence);

    /** Merges other nodes' evidence. */
    void mergeEvidence(const std::vector<EvidenceEntry> &entries);

    /** Merges verdicts that other nodes reached. */
    void mergeVerdicts(const std::vector<MoveVerdict> &verdicts);

    /** Returns all verdicts, for other nodes. */
    std::vector<MoveVerdict> verdicts() const;

    /** Returns whether outcomes of calls matter for any move. */
    bool isActive() const;

    /** Returns what this node counted itself. */
    std::vector<EvidenceEntry> localEvidence() const
    {
        return evidence_.countedBy(self_, generation_);
    }

    /** Returns whether evidence is about the version that a move leads to. */
    bool isOfNewVersion(const EvidenceKey &key) const;

    /** Returns how a route's calls divide now.
        @param usual the service's version while no move runs */
    RouteShare shareOf(const core::identity::ServiceName &service,
                       const core::identity::RouteName &route,
                       const core::identity::VersionName &usual, core::timing::WallTime now) const;

    /** Returns the outcomes that the intent lacks. */
    std::vector<MoveRecord> pendingRecords(core::timing::WallTime now,
                                           const UpstreamQuery &hasUpstream) const;

private:
    MoveTracker *trackerFor(const core::identity::ServiceName &service,
                            const core::identity::VersionName &version);
    void observe(const EvidenceEntry &entry);

    core::identity::NodeId self_;
    std::uint64_t generation_;
    std::unique_ptr<MovePolicies> policies_;
    Listener &listener_;
    EvidenceTable evidence_;
    bool isEvaluating_ = false;
    // Invariant: one tracker for each move that runs or is still watched, by move id.
    std::map<std::string, MoveTracker> trackers_;
    // Verdicts that arrived ahead of the intent that starts their move.
    std::map<std::string, std::string> earlyVerdicts_;
};

} // namespace boragetrack::control::moves
