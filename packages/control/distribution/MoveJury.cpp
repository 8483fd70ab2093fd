/** Implements MoveJury. */
#include "control/distribution/MoveJury.h"

#include "control/membership/WatcherElection.h"

#include <algorithm>

namespace boragetrack::control::distribution {

using core::identity::NodeId;
using core::identity::ServiceName;
using core::identity::VersionName;
using core::timing::MonotonicTime;
using membership::MemberRecord;
using membership::MemberState;

namespace {

std::string topicOf(const ServiceName &service)
{
    return "judge/" + service.value();
}

membership::MemberFilter serving(const ServiceName &service)
{
    return [service](const MemberRecord &record) { return record.upstream.service == service; };
}

} // namespace

void MoveJury::sendEvidence(const ParcelSink &send, MonotonicTime now)
{
    const auto &self = membership_.self();
    const ServiceName &service = self.upstream.service;
    const auto judges = membership::chosenMembers(membership_.table(), topicOf(service),
                                                  judgesPerService, serving(service));
    moves_.setEvaluating(std::find(judges.begin(), judges.end(), self.id) != judges.end());
    const auto own = moves_.localEvidence();
    if (own.empty())
        return;
    outbox_.setEvaluators(judges);
    const auto isOfNewVersion
            = [this](const moves::EvidenceKey &key) { return moves_.isOfNewVersion(key); };
    // The first judge goes first, also for want of budget: one that knows all decides sooner than
    // several that know a part.
    for (const NodeId &judge : judges) {
        const Parcel parcel{judge, outbox_.dueEntries(judge, own, isOfNewVersion, now)};
        const bool isDue = judge != self.id && !parcel.entries.empty();
        if (isDue && send(parcel))
            outbox_.recordSent(judge, parcel.entries, now);
    }
}

std::vector<moves::MoveRecord> MoveJury::recordsDue(const intent::IntentDocument &document,
                                                    core::timing::WallTime wallTime,
                                                    MonotonicTime now)
{
    const auto hasUpstream
            = [this](const auto &service, const auto &version) { return serves(service, version); };
    std::vector<moves::MoveRecord> records;
    std::map<std::pair<std::string, intent::MoveState>, MonotonicTime> missing;
    for (moves::MoveRecord &record : moves_.pendingRecords(wallTime, hasUpstream)) {
        const auto key = std::pair(record.moveId, record.state);
        const auto known = missingSince_.find(key);
        const MonotonicTime since = known == missingSince_.end() ? now : known->second;
        missing.emplace(key, since);
        const auto overdue = std::chrono::duration_cast<std::chrono::milliseconds>(now - since);
        if (isRecorder(document, record.moveId, overdue))
            records.push_back(std::move(record));
    }
    missingSince_ = std::move(missing);
    return records;
}

bool MoveJury::isRecorder(const intent::IntentDocument &document, const std::string &moveId,
                          std::chrono::milliseconds overdue) const
{
    const auto move = std::find_if(document.moves.begin(), document.moves.end(),
                                   [&](const auto &candidate) { return candidate.id == moveId; });
    if (move == document.moves.end())
        return false;
    const MemberRecord &self = membership_.self();
    const auto isConcerned = serving(move->service);
    return isConcerned(self)
           && membership::isAmongChosen(
                   self, membership_.table(), topicOf(move->service),
                   recordersPerMove + static_cast<std::size_t>(overdue / recorderPatience),
                   isConcerned);
}

bool MoveJury::serves(const ServiceName &service, const VersionName &version) const
{
    const auto &records = membership_.table().records();
    return std::any_of(records.begin(), records.end(), [&](const auto &entry) {
        const MemberRecord &record = entry.second;
        return record.state == MemberState::Alive && record.upstream.service == service
               && record.upstream.version == version
               && record.upstream.state == membership::UpstreamState::Serving;
    });
}

} // namespace boragetrack::control::distribution
