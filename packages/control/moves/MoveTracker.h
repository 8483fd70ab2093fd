/** One move as a node follows it. */
#pragma once

#include "control/intent/MoveIntent.h"
#include "control/moves/MovePolicies.h"
#include "control/moves/MoveRecord.h"
#include "control/moves/RouteShare.h"

#include <optional>

namespace boragetrack::control::moves {

/** Follows one move from its start to the end of its watch period. */
class MoveTracker
{
public:
    MoveTracker(intent::MoveIntent move, const MovePolicies &policies);

    /** Takes the move as a newer intent states it. */
    void update(const intent::MoveIntent &move);

    /** Sets when a move begins whose start is not agreed on yet. */
    void setStart(core::timing::WallTime start);

    /** Takes further outcomes of either version. */
    void observe(const EvidenceKey &key, const EvidenceCounts &delta);

    /** Takes a verdict that another node reached. */
    void adoptVerdict(const std::string &evidence);

    /** Judges the evidence. @returns whether a verdict was reached just now */
    bool evaluate();

    /** Returns the evidence of the verdict "bad", if one was reached. */
    const std::optional<std::string> &verdict() const { return verdict_; }

    /** Returns how a route's calls divide now. */
    RouteShare shareOf(const core::identity::RouteName &route, core::timing::WallTime now) const;

    /** Returns the outcome that the intent lacks, if any.
        @param hasUpstream whether an upstream of the new version serves */
    std::optional<MoveRecord> pendingRecord(core::timing::WallTime now, bool hasUpstream) const;

    /** Returns whether the move's watch period is over. */
    bool isWatchOver(core::timing::WallTime now) const;

    /** Returns whether outcomes of calls still matter for the move. */
    bool needsEvidence() const
    {
        return !isSettled() && move_.state != intent::MoveState::TakenBack;
    }

    /** Returns the move. */
    const intent::MoveIntent &move() const { return move_; }

    /** Returns how long a done move is still watched for late badness. */
    std::chrono::milliseconds watchPeriod() const;

private:
    // Whether the move is done for good, whatever was seen of it.
    bool isSettled() const
    {
        return move_.state == intent::MoveState::Done && move_.isFinalOnceDone;
    }

    MoveRecord recordOf(intent::MoveState state, std::string evidence) const;
    double elapsed(core::timing::WallTime now) const;

    intent::MoveIntent move_;
    const MovePolicies &policies_;
    std::unique_ptr<VerdictPolicy> policy_;
    // Invariant: once set, never reset.
    std::optional<std::string> verdict_;
};

} // namespace boragetrack::control::moves
