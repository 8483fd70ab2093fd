/** Implements MoveCoordinator. */
#include "control/moves/MoveCoordinator.h"

#include <algorithm>
#include <set>

namespace boragetrack::control::moves {

using core::identity::RouteName;
using core::identity::ServiceName;
using core::identity::VersionName;
using core::timing::WallTime;
using intent::MoveState;

MoveCoordinator::MoveCoordinator(core::identity::NodeId self, std::uint64_t generation,
                                 std::unique_ptr<MovePolicies> policies, Listener &listener)
    : self_(std::move(self))
    , generation_(generation)
    , policies_(std::move(policies))
    , listener_(listener)
{}

void MoveCoordinator::update(const intent::IntentDocument &document, WallTime now)
{
    std::set<std::string> followed;
    for (const intent::MoveIntent &move : document.moves) {
        // Without a named old version, the version taken back must stay known as excluded.
        if (move.state == MoveState::TakenBack && !move.from.isEmpty())
            continue;
        auto found = trackers_.find(move.id);
        if (found == trackers_.end()) {
            found = trackers_.emplace(move.id, MoveTracker(move, *policies_)).first;
            if (!move.isStartKnown)
                found->second.setStart(now);
        } else {
            found->second.update(move);
        }
        MoveTracker &tracker = found->second;
        if (const auto early = earlyVerdicts_.find(move.id); early != earlyVerdicts_.end())
            tracker.adoptVerdict(early->second);
        // A verdict that was reached stays followed until it is recorded.
        if (!tracker.isWatchOver(now) || tracker.verdict())
            followed.insert(move.id);
    }
    std::erase_if(trackers_, [&](const auto &item) { return !followed.contains(item.first); });
    evidence_.retainMoves(followed);
}

void MoveCoordinator::recordCall(const CallEvidence &call)
{
    const MoveTracker *tracker = trackerFor(call.service, call.version);
    if (tracker == nullptr)
        return;
    EvidenceEntry entry{{tracker->move().id, call.route, call.version, self_, generation_}, {}};
    entry.counts = evidence_.counts(entry.key);
    ++entry.counts.calls;
    entry.counts.failures += call.isFailed;
    entry.counts.broken += call.isBroken;
    if (!call.isCold && !call.isBroken)
        entry.counts.latencies.add(call.latency);
    observe(entry);
}

void MoveCoordinator::mergeEvidence(const std::vector<EvidenceEntry> &entries)
{
    for (const EvidenceEntry &entry : entries) {
        if (trackers_.contains(entry.key.moveId))
            observe(entry);
    }
}

void MoveCoordinator::mergeVerdicts(const std::vector<MoveVerdict> &verdicts)
{
    for (const MoveVerdict &verdict : verdicts) {
        const auto found = trackers_.find(verdict.moveId);
        if (found == trackers_.end()) {
            earlyVerdicts_.emplace(verdict.moveId, verdict.evidence);
            continue;
        }
        if (found->second.verdict())
            continue;
        found->second.adoptVerdict(verdict.evidence);
        listener_.moveStopped(found->second.move(), verdict.evidence);
    }
}

std::vector<MoveVerdict> MoveCoordinator::verdicts() const
{
    std::vector<MoveVerdict> verdicts;
    for (const auto &[id, tracker] : trackers_) {
        if (tracker.verdict())
            verdicts.push_back(MoveVerdict{id, *tracker.verdict()});
    }
    return verdicts;
}

bool MoveCoordinator::isActive() const
{
    return std::any_of(trackers_.begin(), trackers_.end(),
                       [](const auto &entry) { return entry.second.needsEvidence(); });
}

bool MoveCoordinator::isOfNewVersion(const EvidenceKey &key) const
{
    const auto found = trackers_.find(key.moveId);
    return found != trackers_.end() && found->second.move().to == key.version;
}

RouteShare MoveCoordinator::shareOf(const ServiceName &service, const RouteName &route,
                                    const VersionName &usual, WallTime now) const
{
    const MoveTracker *chosen = nullptr;
    for (const auto &[id, tracker] : trackers_) {
        if (tracker.move().service != service)
            continue;
        // A running move goes before an earlier one that is only watched still.
        const bool isPreferred = chosen == nullptr || tracker.move().state == MoveState::Running;
        if (isPreferred)
            chosen = &tracker;
    }
    return chosen == nullptr ? RouteShare{usual, {}, 0.0, {}} : chosen->shareOf(route, now);
}

std::vector<MoveRecord> MoveCoordinator::pendingRecords(WallTime now,
                                                        const UpstreamQuery &hasUpstream) const
{
    std::vector<MoveRecord> records;
    for (const auto &[id, tracker] : trackers_) {
        const intent::MoveIntent &move = tracker.move();
        if (const auto record = tracker.pendingRecord(now, hasUpstream(move.service, move.to)))
            records.push_back(*record);
    }
    return records;
}

MoveTracker *MoveCoordinator::trackerFor(const ServiceName &service, const VersionName &version)
{
    for (auto &[id, tracker] : trackers_) {
        const intent::MoveIntent &move = tracker.move();
        if (tracker.needsEvidence() && move.service == service && move.involves(version))
            return &tracker;
    }
    return nullptr;
}

void MoveCoordinator::observe(const EvidenceEntry &entry)
{
    const auto delta = evidence_.merge(entry);
    const auto found = trackers_.find(entry.key.moveId);
    if (!delta || found == trackers_.end())
        return;
    found->second.observe(entry.key, *delta);
    if (isEvaluating_ && found->second.evaluate())
        listener_.moveStopped(found->second.move(), *found->second.verdict());
}

} // namespace boragetrack::control::moves
