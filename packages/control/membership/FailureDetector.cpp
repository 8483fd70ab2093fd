/** Implements FailureDetector. */
#include "control/membership/FailureDetector.h"

#include <algorithm>

namespace boragetrack::control::membership {

using core::identity::DataCentreId;
using core::identity::NodeId;

namespace {

constexpr std::size_t requiredObservers = 2;
// Below this many suspects the loss of single members is as likely as that of the data centre.
constexpr int minimumSilentSuspects = 2;

std::size_t countAlive(const MemberTable &members)
{
    return static_cast<std::size_t>(std::count_if(
            members.records().begin(), members.records().end(),
            [](const auto &entry) { return entry.second.state == MemberState::Alive; }));
}

} // namespace

bool FailureDetector::addSuspicion(const Suspicion &suspicion, core::timing::MonotonicTime now)
{
    const auto [it, isNew]
            = cases_.try_emplace(suspicion.subject, SuspicionCase{now, {}, suspicion.version});
    SuspicionCase &pending = it->second;
    if (suspicion.version < pending.version)
        return false;
    if (suspicion.version > pending.version)
        pending = SuspicionCase{now, {}, suspicion.version};
    return pending.observers.insert(suspicion.observer).second || isNew;
}

void FailureDetector::clear(const NodeId &subject)
{
    cases_.erase(subject);
}

std::vector<Suspicion> FailureDetector::suspicionsOf(const NodeId &subject) const
{
    std::vector<Suspicion> suspicions;
    const auto found = cases_.find(subject);
    if (found == cases_.end())
        return suspicions;
    for (const NodeId &observer : found->second.observers)
        suspicions.push_back(Suspicion{subject, found->second.version, observer});
    return suspicions;
}

std::vector<NodeId> FailureDetector::findDead(const MemberTable &members,
                                              core::timing::MonotonicTime now)
{
    const std::set<DataCentreId> silent = findSilentDataCentres(members);
    // With a single member left alive there is no second observer to wait for.
    const std::size_t needed = std::min(requiredObservers, countAlive(members));
    std::vector<NodeId> dead;
    for (auto &[subject, pending] : cases_) {
        const MemberRecord *record = members.find(subject);
        if (record == nullptr || record->state != MemberState::Suspect)
            continue;
        if (silent.contains(record->dataCentre)) {
            pending.since = now;
            continue;
        }
        if (pending.observers.size() >= needed && now - pending.since >= suspicionTimeout)
            dead.push_back(subject);
    }
    return dead;
}

std::set<DataCentreId> FailureDetector::findSilentDataCentres(const MemberTable &members)
{
    struct Tally
    {
        int suspect = 0;
        int known = 0;
    };
    std::map<DataCentreId, Tally> tallies;
    for (const auto &[id, record] : members.records()) {
        Tally &tally = tallies[record.dataCentre];
        tally.known += record.state == MemberState::Alive || record.state == MemberState::Suspect;
        tally.suspect += record.state == MemberState::Suspect;
    }
    std::set<DataCentreId> silent;
    for (const auto &[dataCentre, tally] : tallies) {
        if (tally.suspect >= minimumSilentSuspects && tally.suspect * 2 >= tally.known)
            silent.insert(dataCentre);
    }
    return silent;
}

} // namespace boragetrack::control::membership
