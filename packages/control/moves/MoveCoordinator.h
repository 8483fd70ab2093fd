/** A node's view of all moves. */
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

/** Records this node's evidence, merges the evidence and verdicts of other nodes and determines the
    versions' shares of each route.

    Evaluates evidence only while this node is an evaluator; see setEvaluating(). */
class MoveCoordinator
{
public:
    /** Receives decisions about moves. */
    class Listener
    {
    public:
        virtual ~Listener() = default;

        /** Handles the verdict that the new version of a move is bad, reached by this node or
            received. From now on no new call may go to the version.
            @param evidence a description for operators */
        virtual void moveStopped(const intent::MoveIntent &move, const std::string &evidence) = 0;
    };

    /** Returns whether an upstream of a version is serving. */
    using UpstreamQuery = std::function<bool(const core::identity::ServiceName &,
                                             const core::identity::VersionName &)>;

    /** @param generation the start of this process
        @param listener must outlive the coordinator */
    MoveCoordinator(core::identity::NodeId self, std::uint64_t generation,
                    std::unique_ptr<MovePolicies> policies, Listener &listener);

    /** Updates the moves from a new intent. */
    void update(const intent::IntentDocument &document, core::timing::WallTime now);

    /** Sets whether this node evaluates moves. A node that receives only part of the evidence must
        not. */
    void setEvaluating(bool isEvaluating) { isEvaluating_ = isEvaluating; }

    /** Records the outcome of a call to the node's upstream. */
    void recordCall(const CallEvidence &evidence);

    /** Merges evidence from other nodes; entries of unknown moves are ignored. */
    void mergeEvidence(const std::vector<EvidenceEntry> &entries);

    /** Merges verdicts from other nodes. */
    void mergeVerdicts(const std::vector<MoveVerdict> &verdicts);

    /** Returns all verdicts that this node reached or received, to be sent to other nodes. */
    std::vector<MoveVerdict> verdicts() const;

    /** Returns whether any move needs outcomes of calls. */
    bool isActive() const;

    /** Returns the evidence that this node counted. */
    std::vector<EvidenceEntry> localEvidence() const
    {
        return evidence_.countedBy(self_, generation_);
    }

    /** Returns whether evidence is about the new version of its move. */
    bool isOfNewVersion(const EvidenceKey &key) const;

    /** Returns how the calls of a route are divided between versions.
        @param defaultVersion the service's version while there is no move */
    RouteShare shareOf(const core::identity::ServiceName &service,
                       const core::identity::RouteName &route,
                       const core::identity::VersionName &defaultVersion,
                       core::timing::WallTime now) const;

    /** Returns the starts and outcomes of moves that the intent does not contain yet. */
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
    // Invariant: by move id, one tracker for each move that runs, is in its watch period, has an
    // unrecorded verdict, is final, or was taken back without naming an old version.
    std::map<std::string, MoveTracker> trackers_;
    // Evidence of verdicts that arrived before the intent with their move, by move id.
    std::map<std::string, std::string> earlyVerdicts_;
};

} // namespace boragetrack::control::moves
