/** Implements MembershipEngine. */
#include "control/membership/MembershipEngine.h"

#include <algorithm>
#include <bit>

namespace boragetrack::control::membership {

using core::identity::NodeId;
using core::timing::MonotonicTime;

namespace {

// Gone members are remembered so that late news of them can not bring them back.
constexpr std::chrono::minutes goneMemory{30};
// A member heard of so lately is not taken for unreachable on another's word.
constexpr std::chrono::milliseconds hearingLife{3000};

bool isGone(MemberState state)
{
    return state == MemberState::Dead || state == MemberState::Left;
}

RumorPriority priorityOf(const MemberRecord *previous, const MemberRecord &record)
{
    const bool isDeparture = record.state != MemberState::Alive
                             || record.upstream.state == UpstreamState::Draining;
    if (isDeparture)
        return RumorPriority::Departure;
    return previous == nullptr ? RumorPriority::Arrival : RumorPriority::Change;
}

} // namespace

MembershipEngine::MembershipEngine(MemberRecord self, std::unique_ptr<NeighbourPolicy> neighbours,
                                   Listener &listener)
    : self_(std::move(self))
    , neighbourPolicy_(std::move(neighbours))
    , listener_(listener)
{
    // The listener is still under construction, so it is not told of this first record.
    table_.merge(self_);
    spread(self_, RumorPriority::Arrival);
}

void MembershipEngine::setUpstream(const UpstreamRecord &upstream)
{
    if (self_.upstream == upstream)
        return;
    const bool isDeparture = upstream.state != UpstreamState::Serving;
    self_.upstream = upstream;
    ++self_.version.sequence;
    publishSelf(isDeparture ? RumorPriority::Departure : RumorPriority::Change);
}

void MembershipEngine::leave()
{
    self_.state = MemberState::Left;
    self_.upstream.state = UpstreamState::Draining;
    ++self_.version.sequence;
    publishSelf(RumorPriority::Departure);
}

void MembershipEngine::mergeRecords(const std::vector<MemberRecord> &records, MonotonicTime now)
{
    for (const MemberRecord &record : records)
        mergeUnlessDoubted(record, now, true);
}

void MembershipEngine::mergeFetched(const std::vector<MemberRecord> &records, MonotonicTime now)
{
    for (const MemberRecord &record : records)
        mergeUnlessDoubted(record, now, record.state != MemberState::Alive);
}

void MembershipEngine::mergeUnlessDoubted(const MemberRecord &record, MonotonicTime now,
                                          bool isPassedOn)
{
    if (record.state == MemberState::Suspect && wasHeardLately(record.id, now))
        doubt(Suspicion{record.id, record.version, NodeId{}});
    else
        merge(record, now, isPassedOn);
}

void MembershipEngine::doubt(const Suspicion &suspicion)
{
    doubted_[suspicion.subject] = suspicion;
    confirmationTargets_.insert(suspicion.subject);
}

bool MembershipEngine::merge(const MemberRecord &record, MonotonicTime now, bool isPassedOn)
{
    if (record.id == self_.id) {
        refute(record);
        return false;
    }
    const MemberRecord *known = table_.find(record.id);
    const bool hadPrevious = known != nullptr;
    const MemberRecord previous = hadPrevious ? *known : MemberRecord{};
    if (!table_.merge(record))
        return false;
    if (record.state == MemberState::Alive)
        detector_.clear(record.id);
    if (isGone(record.state))
        goneSince_[record.id] = now;
    else
        goneSince_.erase(record.id);
    if (isPassedOn)
        spread(record, priorityOf(hadPrevious ? &previous : nullptr, record));
    if (!hadPrevious || previous.state != record.state)
        neighbourIds_ = neighbourPolicy_->neighboursOf(self_, table_);
    listener_.memberChanged(hadPrevious ? &previous : nullptr, record);
    reportSilence();
    return true;
}

void MembershipEngine::refute(const MemberRecord &claim)
{
    const bool isOutdated = claim.version > self_.version
                            || (claim.version == self_.version && claim.state != self_.state);
    if (!isOutdated)
        return;
    self_.version = claim.version;
    ++self_.version.sequence;
    publishSelf(RumorPriority::Change);
}

void MembershipEngine::mergeSuspicions(const std::vector<Suspicion> &suspicions, MonotonicTime now)
{
    for (const Suspicion &suspicion : suspicions) {
        if (suspicion.subject == self_.id) {
            MemberRecord claim = self_;
            claim.version = suspicion.version;
            claim.state = MemberState::Suspect;
            refute(claim);
            continue;
        }
        const MemberRecord *known = table_.find(suspicion.subject);
        if (known == nullptr || isGone(known->state) || suspicion.version < known->version)
            continue;
        if (wasHeardLately(suspicion.subject, now)) {
            doubt(suspicion);
            continue;
        }
        if (!detector_.addSuspicion(suspicion, now))
            continue;
        setState(suspicion.subject, MemberState::Suspect, now);
        spread(*table_.find(suspicion.subject), RumorPriority::Departure);
        const bool isNeighbour
                = std::find(neighbourIds_.begin(), neighbourIds_.end(), suspicion.subject)
                  != neighbourIds_.end();
        if (isNeighbour)
            confirmationTargets_.insert(suspicion.subject);
    }
}

void MembershipEngine::memberHeard(const NodeId &id, MonotonicTime now)
{
    heardAt_[id] = now;
}

bool MembershipEngine::wasHeardLately(const NodeId &id, MonotonicTime now) const
{
    const auto heard = heardAt_.find(id);
    return heard != heardAt_.end() && now - heard->second < hearingLife;
}

std::vector<Suspicion> MembershipEngine::takeSuspicionsFor(const NodeId &subject)
{
    const auto found = doubted_.find(subject);
    if (found == doubted_.end())
        return {};
    const Suspicion suspicion = found->second;
    doubted_.erase(found);
    return {suspicion};
}

void MembershipEngine::memberFailed(const NodeId &id, MonotonicTime now)
{
    const MemberRecord *known = table_.find(id);
    if (known == nullptr || isGone(known->state))
        return;
    if (!detector_.addSuspicion(Suspicion{id, known->version, self_.id}, now))
        return;
    setState(id, MemberState::Suspect, now);
    spread(*table_.find(id), RumorPriority::Departure);
}

std::vector<NodeId> MembershipEngine::takeConfirmationTargets()
{
    std::vector<NodeId> targets(confirmationTargets_.begin(), confirmationTargets_.end());
    confirmationTargets_.clear();
    return targets;
}

void MembershipEngine::tick(MonotonicTime now)
{
    for (const NodeId &id : detector_.findDead(table_, now)) {
        setState(id, MemberState::Dead, now);
        detector_.clear(id);
    }
    std::erase_if(heardAt_, [&](const auto &heard) { return now - heard.second >= hearingLife; });
    for (auto it = goneSince_.begin(); it != goneSince_.end();) {
        if (now - it->second < goneMemory) {
            ++it;
            continue;
        }
        table_.erase(it->first);
        it = goneSince_.erase(it);
    }
}

void MembershipEngine::takeNews(std::size_t maximum, std::vector<MemberRecord> &records,
                                std::vector<Suspicion> &suspicions)
{
    for (const NodeId &id : rumors_.take(maximum)) {
        const MemberRecord *record = table_.find(id);
        if (record == nullptr)
            continue;
        records.push_back(*record);
        const auto held = detector_.suspicionsOf(id);
        suspicions.insert(suspicions.end(), held.begin(), held.end());
    }
}

void MembershipEngine::publishSelf(RumorPriority priority)
{
    const MemberRecord *known = table_.find(self_.id);
    const MemberRecord previous = known != nullptr ? *known : MemberRecord{};
    table_.merge(self_);
    neighbourIds_ = neighbourPolicy_->neighboursOf(self_, table_);
    spread(self_, priority);
    listener_.memberChanged(known != nullptr ? &previous : nullptr, self_);
}

void MembershipEngine::spread(const MemberRecord &record, RumorPriority priority)
{
    rumors_.add(record.id, priority, transmissions());
}

void MembershipEngine::setState(const NodeId &id, MemberState state, MonotonicTime now)
{
    MemberRecord record = *table_.find(id);
    if (record.state >= state)
        return;
    record.state = state;
    merge(record, now);
}

void MembershipEngine::reportSilence()
{
    std::set<core::identity::DataCentreId> silent = FailureDetector::findSilent(table_);
    for (const auto &dataCentre : silent) {
        if (!silent_.contains(dataCentre))
            listener_.dataCentreSilent(dataCentre);
    }
    silent_ = std::move(silent);
}

int MembershipEngine::transmissions() const
{
    // A rumour reaches all of n members with high probability after some log2(n) sendings by each.
    return 2 + static_cast<int>(std::bit_width(table_.records().size()));
}

} // namespace boragetrack::control::membership
