/** Implements MoveTracker. */
#include "control/moves/MoveTracker.h"

#include <algorithm>

namespace boragetrack::control::moves {

using core::timing::WallTime;
using intent::MoveState;

namespace {

// The move counts as done a little before its end, so that the record is in force by then.
constexpr double doneFraction = 0.92;
constexpr std::chrono::milliseconds shortestWatch = std::chrono::seconds(10);
constexpr std::chrono::milliseconds longestWatch = std::chrono::hours(1);

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
    if (!verdict_ && !isSettled())
        verdict_ = evidence;
}

bool MoveTracker::evaluate()
{
    if (verdict_ || isSettled())
        return false;
    verdict_ = policy_->regressionEvidence();
    return verdict_.has_value();
}

RouteShare MoveTracker::shareOf(const core::identity::RouteName &route, WallTime now) const
{
    if (isSettled())
        return RouteShare{move_.to, {}, 0.0, {}};
    if (verdict_ || move_.state == MoveState::TakenBack)
        return RouteShare{move_.from, {}, 0.0, move_.to};
    if (move_.state == MoveState::Done)
        return RouteShare{move_.to, move_.from, 0.0, {}};
    const double share = policies_.sharePolicy().sharePercent(
            elapsed(now), policy_->hasSufficientEvidence(route));
    if (share <= 0.0)
        return RouteShare{move_.from, {}, 0.0, move_.to};
    return RouteShare{move_.from, move_.to, share, {}};
}

std::optional<MoveRecord> MoveTracker::pendingRecord(WallTime now, bool hasUpstream) const
{
    if (move_.state == MoveState::TakenBack || isSettled())
        return std::nullopt;
    if (verdict_)
        return recordOf(MoveState::TakenBack, *verdict_);
    if (!move_.isStartKnown)
        return recordOf(MoveState::Running, {});
    if (move_.state == MoveState::Done || elapsed(now) < doneFraction)
        return std::nullopt;
    if (hasUpstream)
        return recordOf(MoveState::Done, policy_->summary());
    if (elapsed(now) < 1.0)
        return std::nullopt;
    return recordOf(MoveState::TakenBack, "no upstream of the new version served at the set time");
}

MoveRecord MoveTracker::recordOf(MoveState state, std::string evidence) const
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
    return move_.state == MoveState::Done && !isSettled() && now >= move_.endedAt + watchPeriod();
}

std::chrono::milliseconds MoveTracker::watchPeriod() const
{
    return std::clamp((move_.doneBy - move_.startAt) / 2, shortestWatch, longestWatch);
}

double MoveTracker::elapsed(WallTime now) const
{
    const std::chrono::duration<double> whole = move_.doneBy - move_.startAt;
    const std::chrono::duration<double> passed = now - move_.startAt;
    return passed / whole;
}

} // namespace boragetrack::control::moves
