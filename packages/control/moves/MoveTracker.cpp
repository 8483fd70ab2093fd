/** Derives the shares and the record of a move from its state, its verdict and the time. */
#include "control/moves/MoveTracker.h"

#include <algorithm>

namespace boragetrack::control::moves {

using core::timing::WallTime;
using intent::MoveState;

namespace {

// Fraction of the move after which it is recorded as done, so that the record is in force at its
// end.
constexpr double doneRecordFraction = 0.92;
constexpr std::chrono::milliseconds minWatchPeriod = std::chrono::seconds(10);
constexpr std::chrono::milliseconds maxWatchPeriod = std::chrono::hours(1);

} // namespace

MoveTracker::MoveTracker(intent::MoveIntent move, const MovePolicies &policies)
    : move_(std::move(move))
    , policies_(policies)
    , policy_(policies.makeVerdictPolicy())
{}

void MoveTracker::observe(const EvidenceKey &key, const EvidenceCounts &delta)
{
    if (key.version == move_.to)
        policy_->observeNewVersion(key, delta);
    else if (move_.involves(key.version))
        policy_->observeOldVersion(key, delta);
}

void MoveTracker::adoptVerdict(const std::string &evidence)
{
    if (!verdict_ && !isFinal())
        verdict_ = evidence;
}

bool MoveTracker::evaluate()
{
    if (verdict_ || isFinal())
        return false;
    verdict_ = policy_->regressionEvidence();
    return verdict_.has_value();
}

RouteShare MoveTracker::shareOf(const core::identity::RouteName &route, WallTime now) const
{
    if (isFinal())
        return RouteShare{move_.to, {}, 0.0, {}};
    if (verdict_ || move_.state == MoveState::TakenBack)
        return RouteShare{move_.from, {}, 0.0, move_.to};
    if (move_.state == MoveState::Done)
        return RouteShare{move_.to, move_.from, 0.0, {}};
    const double share = policies_.sharePolicy().sharePercent(
            elapsedFraction(now), policy_->hasSufficientEvidence(route));
    if (share <= 0.0)
        return RouteShare{move_.from, {}, 0.0, move_.to};
    return RouteShare{move_.from, move_.to, share, {}};
}

std::optional<MoveRecord> MoveTracker::pendingRecord(WallTime now, bool hasUpstream) const
{
    if (move_.state == MoveState::TakenBack || isFinal())
        return std::nullopt;
    if (verdict_)
        return makeRecord(MoveState::TakenBack, *verdict_);
    if (!move_.isStartKnown)
        return makeRecord(MoveState::Running, {});
    if (move_.state == MoveState::Done || elapsedFraction(now) < doneRecordFraction)
        return std::nullopt;
    if (hasUpstream)
        return makeRecord(MoveState::Done, policy_->summary());
    if (elapsedFraction(now) < 1.0)
        return std::nullopt;
    return makeRecord(MoveState::TakenBack,
                      "no upstream of the new version was serving at the end of the move");
}

MoveRecord MoveTracker::makeRecord(MoveState state, std::string evidence) const
{
    return MoveRecord{move_.id, state, std::move(evidence), move_.startAt};
}

void MoveTracker::update(const intent::MoveIntent &move)
{
    const WallTime provisional = move_.startAt;
    move_ = move;
    if (!move.isStartKnown)
        setStart(provisional);
}

void MoveTracker::setStart(WallTime start)
{
    move_.doneBy += start - move_.startAt;
    move_.startAt = start;
}

bool MoveTracker::isWatchOver(WallTime now) const
{
    return move_.state == MoveState::Done && !isFinal() && now >= move_.endedAt + watchPeriod();
}

std::chrono::milliseconds MoveTracker::watchPeriod() const
{
    return std::clamp((move_.doneBy - move_.startAt) / 2, minWatchPeriod, maxWatchPeriod);
}

double MoveTracker::elapsedFraction(WallTime now) const
{
    const std::chrono::duration<double> whole = move_.doneBy - move_.startAt;
    const std::chrono::duration<double> passed = now - move_.startAt;
    return passed / whole;
}

} // namespace boragetrack::control::moves
