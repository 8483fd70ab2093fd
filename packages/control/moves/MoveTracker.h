/** State of one move on a node. */
#pragma once

#include "control/intent/MoveIntent.h"
#include "control/moves/MovePolicies.h"
#include "control/moves/MoveRecord.h"
#include "control/moves/RouteShare.h"

#include <optional>

namespace boragetrack::control::moves {

/** Evaluates one move and determines its shares, from its start to the end of its watch period. */
class MoveTracker
{
public:
    /** @param policies must outlive the tracker */
    MoveTracker(intent::MoveIntent move, const MovePolicies &policies);

    /** Updates the move from a newer intent. */
    void update(const intent::MoveIntent &move);

    /** Sets a provisional start for a move whose start is not known yet; its end moves along. */
    void setStart(core::timing::WallTime start);

    /** Records further outcomes of either version. */
    void observe(const EvidenceKey &key, const EvidenceCounts &delta);

    /** Sets a verdict that another node reached, unless there is one already. */
    void adoptVerdict(const std::string &evidence);

    /** Evaluates the evidence. @returns whether this call reached a verdict */
    bool evaluate();

    /** Returns the evidence that the new version is bad, if that is the verdict. */
    const std::optional<std::string> &verdict() const { return verdict_; }

    /** Returns how the calls of a route are divided between versions. */
    RouteShare shareOf(const core::identity::RouteName &route, core::timing::WallTime now) const;

    /** Returns the start or outcome that the intent does not contain yet, if any.
        @param hasUpstream whether an upstream of the new version is serving */
    std::optional<MoveRecord> pendingRecord(core::timing::WallTime now, bool hasUpstream) const;

    /** Returns whether the move is done and its watch period has ended. */
    bool isWatchOver(core::timing::WallTime now) const;

    /** Returns whether outcomes of calls can still change the result of the move. */
    bool needsEvidence() const { return !isFinal() && move_.state != intent::MoveState::TakenBack; }

    /** Returns the move with its provisional start, if it has one. */
    const intent::MoveIntent &move() const { return move_; }

    /** Returns how long after its end a done move can still be taken back. */
    std::chrono::milliseconds watchPeriod() const;

private:
    // Returns whether the move is done and can not be taken back.
    bool isFinal() const { return move_.state == intent::MoveState::Done && move_.isFinalOnceDone; }

    MoveRecord makeRecord(intent::MoveState state, std::string evidence) const;
    // Returns the fraction of the time from start to end that has passed; it may be below 0 and
    // above 1.
    double elapsedFraction(core::timing::WallTime now) const;

    intent::MoveIntent move_;
    const MovePolicies &policies_;
    std::unique_ptr<VerdictPolicy> policy_;
    // Invariant: once set, never reset.
    std::optional<std::string> verdict_;
};

} // namespace boragetrack::control::moves
