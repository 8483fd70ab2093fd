/** Failure handling resembles the SWIM protocol: suspicions travel by gossip, a member refutes them
    by a higher version, and one that does not refute in time counts as dead. A node that was
    recently in contact with a suspect disputes the suspicion. */
#include "control/membership/MembershipEngine.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace boragetrack::control::membership {

using core::identity::NodeId;
using core::timing::MonotonicTime;

namespace {

// Departed members are kept so that late gossip does not add them again.
constexpr std::chrono::minutes departedRetention{30};
// A member in contact within this period is not suspected because of another node's report.
constexpr std::chrono::milliseconds recentContactPeriod{3000};

bool hasDeparted(MemberState state)
{
    return state == MemberState::Dead || state == MemberState::Left;
}

GossipPriority priorityOf(const MemberRecord *previous, const MemberRecord &record)
{
    const bool isDeparture = record.state != MemberState::Alive
                             || record.upstream.state == UpstreamState::Draining;
    if (isDeparture)
        return GossipPriority::Departure;
    return previous == nullptr ? GossipPriority::Arrival : GossipPriority::Change;
}

} // namespace

MembershipEngine::MembershipEngine(MemberRecord self, std::unique_ptr<NeighbourPolicy> neighbours,
                                   Listener &listener)
    : self_(std::move(self))
    , neighbourPolicy_(std::move(neighbours))
    , listener_(listener)
{
    // No notification here: the listener is still being constructed.
    table_.merge(self_);
    enqueueGossip(self_, GossipPriority::Arrival);
}

void MembershipEngine::setUpstream(const UpstreamRecord &upstream)
{
    if (self_.upstream == upstream)
        return;
    const bool isDeparture = upstream.state != UpstreamState::Serving;
    self_.upstream = upstream;
    ++self_.version.sequence;
    publishSelf(isDeparture ? GossipPriority::Departure : GossipPriority::Change);
}

void MembershipEngine::leave()
{
    self_.state = MemberState::Left;
    self_.upstream.state = UpstreamState::Draining;
    ++self_.version.sequence;
    publishSelf(GossipPriority::Departure);
}

void MembershipEngine::mergeRecords(const std::vector<MemberRecord> &records, MonotonicTime now)
{
    for (const MemberRecord &record : records)
        mergeUnlessDisputed(record, now, true);
    refreshDerivedState();
}

void MembershipEngine::mergeFetched(const std::vector<MemberRecord> &records, MonotonicTime now)
{
    for (const MemberRecord &record : records)
        mergeUnlessDisputed(record, now, record.state != MemberState::Alive);
    refreshDerivedState();
}

void MembershipEngine::mergeUnlessDisputed(const MemberRecord &record, MonotonicTime now,
                                           bool isForwarded)
{
    if (record.state == MemberState::Suspect && hasRecentContact(record.id, now))
        dispute(Suspicion{record.id, record.version, NodeId{}});
    else
        merge(record, now, isForwarded);
}

void MembershipEngine::dispute(const Suspicion &suspicion)
{
    disputed_[suspicion.subject] = suspicion;
    probeTargets_.insert(suspicion.subject);
}

bool MembershipEngine::merge(const MemberRecord &record, MonotonicTime now, bool isForwarded)
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
    if (hasDeparted(record.state))
        departedAt_[record.id] = now;
    else
        departedAt_.erase(record.id);
    if (isForwarded)
        enqueueGossip(record, priorityOf(hadPrevious ? &previous : nullptr, record));
    isDerivedStateStale_ = isDerivedStateStale_ || !hadPrevious || previous.state != record.state;
    listener_.memberChanged(hadPrevious ? &previous : nullptr, record);
    return true;
}

// Once for all records that were merged together, since each of these passes over all members.
void MembershipEngine::refreshDerivedState()
{
    if (!std::exchange(isDerivedStateStale_, false))
        return;
    neighbourIds_ = neighbourPolicy_->neighboursOf(self_, table_);
    reportSilentDataCentres();
}

void MembershipEngine::refute(const MemberRecord &received)
{
    const bool isOutdated = received.version > self_.version
                            || (received.version == self_.version && received.state != self_.state);
    if (!isOutdated)
        return;
    self_.version = received.version;
    ++self_.version.sequence;
    publishSelf(GossipPriority::Change);
}

void MembershipEngine::mergeSuspicions(const std::vector<Suspicion> &suspicions, MonotonicTime now)
{
    for (const Suspicion &suspicion : suspicions) {
        if (suspicion.subject == self_.id) {
            MemberRecord received = self_;
            received.version = suspicion.version;
            received.state = MemberState::Suspect;
            refute(received);
            continue;
        }
        const MemberRecord *known = table_.find(suspicion.subject);
        if (known == nullptr || hasDeparted(known->state) || suspicion.version < known->version)
            continue;
        if (hasRecentContact(suspicion.subject, now)) {
            dispute(suspicion);
            continue;
        }
        if (!detector_.addSuspicion(suspicion, now))
            continue;
        setState(suspicion.subject, MemberState::Suspect, now);
        enqueueGossip(*table_.find(suspicion.subject), GossipPriority::Departure);
        const bool isNeighbour
                = std::find(neighbourIds_.begin(), neighbourIds_.end(), suspicion.subject)
                  != neighbourIds_.end();
        if (isNeighbour)
            probeTargets_.insert(suspicion.subject);
    }
    refreshDerivedState();
}

void MembershipEngine::recordContact(const NodeId &id, MonotonicTime now)
{
    lastContacts_[id] = now;
}

bool MembershipEngine::hasRecentContact(const NodeId &id, MonotonicTime now) const
{
    const auto contact = lastContacts_.find(id);
    return contact != lastContacts_.end() && now - contact->second < recentContactPeriod;
}

std::vector<Suspicion> MembershipEngine::takeDisputedSuspicions(const NodeId &subject)
{
    const auto found = disputed_.find(subject);
    if (found == disputed_.end())
        return {};
    const Suspicion suspicion = found->second;
    disputed_.erase(found);
    return {suspicion};
}

void MembershipEngine::recordContactFailure(const NodeId &id, MonotonicTime now)
{
    const MemberRecord *known = table_.find(id);
    if (known == nullptr || hasDeparted(known->state))
        return;
    if (!detector_.addSuspicion(Suspicion{id, known->version, self_.id}, now))
        return;
    setState(id, MemberState::Suspect, now);
    enqueueGossip(*table_.find(id), GossipPriority::Departure);
    refreshDerivedState();
}

std::vector<NodeId> MembershipEngine::takeProbeTargets()
{
    std::vector<NodeId> targets(probeTargets_.begin(), probeTargets_.end());
    probeTargets_.clear();
    return targets;
}

void MembershipEngine::tick(MonotonicTime now)
{
    for (const NodeId &id : detector_.findDead(table_, now)) {
        setState(id, MemberState::Dead, now);
        detector_.clear(id);
    }
    std::erase_if(lastContacts_,
                  [&](const auto &contact) { return now - contact.second >= recentContactPeriod; });
    for (auto it = departedAt_.begin(); it != departedAt_.end();) {
        if (now - it->second < departedRetention) {
            ++it;
            continue;
        }
        table_.erase(it->first);
        it = departedAt_.erase(it);
    }
    refreshDerivedState();
}

void MembershipEngine::takeGossip(std::size_t maximum, std::vector<MemberRecord> &records,
                                  std::vector<Suspicion> &suspicions)
{
    for (const NodeId &id : gossip_.take(maximum)) {
        const MemberRecord *record = table_.find(id);
        if (record == nullptr)
            continue;
        records.push_back(*record);
        const auto suspicionsOfMember = detector_.suspicionsOf(id);
        suspicions.insert(suspicions.end(), suspicionsOfMember.begin(), suspicionsOfMember.end());
    }
}

void MembershipEngine::publishSelf(GossipPriority priority)
{
    const MemberRecord *known = table_.find(self_.id);
    const MemberRecord previous = known != nullptr ? *known : MemberRecord{};
    table_.merge(self_);
    neighbourIds_ = neighbourPolicy_->neighboursOf(self_, table_);
    enqueueGossip(self_, priority);
    listener_.memberChanged(known != nullptr ? &previous : nullptr, self_);
}

void MembershipEngine::enqueueGossip(const MemberRecord &record, GossipPriority priority)
{
    gossip_.add(record.id, priority, transmissionCount());
}

void MembershipEngine::setState(const NodeId &id, MemberState state, MonotonicTime now)
{
    MemberRecord record = *table_.find(id);
    if (record.state >= state)
        return;
    record.state = state;
    merge(record, now);
}

void MembershipEngine::reportSilentDataCentres()
{
    std::set<core::identity::DataCentreId> silent = FailureDetector::findSilentDataCentres(table_);
    for (const auto &dataCentre : silent) {
        if (!silentDataCentres_.contains(dataCentre))
            listener_.dataCentreSilent(dataCentre);
    }
    silentDataCentres_ = std::move(silent);
}

int MembershipEngine::transmissionCount() const
{
    // An entry reaches all n members with high probability after each sent it about log2(n) times.
    return 2 + static_cast<int>(std::bit_width(table_.records().size()));
}

} // namespace boragetrack::control::membership
