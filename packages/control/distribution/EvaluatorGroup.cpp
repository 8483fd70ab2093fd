/** Selects evaluators and recorders by rendezvous hashing over the live members of the service, so
    that all nodes choose the same ones without coordination. */
#include "control/distribution/EvaluatorGroup.h"

#include "control/membership/MemberSelection.h"

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

membership::MemberFilter membersOf(const ServiceName &service)
{
    return [service](const MemberRecord &record) { return record.upstream.service == service; };
}

} // namespace

void EvaluatorGroup::sendEvidence(const EvidenceBatchSender &send, MonotonicTime now)
{
    const auto &self = membership_.self();
    const ServiceName &service = self.upstream.service;
    const auto evaluators = membership::selectMembers(membership_.table(), topicOf(service),
                                                      evaluatorsPerService, membersOf(service));
    moves_.setEvaluating(std::find(evaluators.begin(), evaluators.end(), self.id)
                         != evaluators.end());
    const auto localEvidence = moves_.localEvidence();
    if (localEvidence.empty())
        return;
    outbox_.setEvaluators(evaluators);
    const auto isOfNewVersion
            = [this](const moves::EvidenceKey &key) { return moves_.isOfNewVersion(key); };
    // Batches are sent in the order of selection, also when the rate limit is exhausted: one
    // evaluator with all the evidence decides sooner than several with a part of it.
    for (const NodeId &evaluator : evaluators) {
        const EvidenceBatch batch{
                evaluator, outbox_.dueEntries(evaluator, localEvidence, isOfNewVersion, now)};
        const bool isDue = evaluator != self.id && !batch.entries.empty();
        if (isDue && send(batch))
            outbox_.recordSent(evaluator, batch.entries, now);
    }
}

std::vector<moves::MoveRecord> EvaluatorGroup::dueRecords(const intent::IntentDocument &document,
                                                          core::timing::WallTime wallTime,
                                                          MonotonicTime now)
{
    const auto hasUpstream = [this](const auto &service, const auto &version) {
        return hasServingUpstream(service, version);
    };
    std::vector<moves::MoveRecord> records;
    std::map<std::pair<std::string, intent::MoveState>, MonotonicTime> pending;
    for (moves::MoveRecord &record : moves_.pendingRecords(wallTime, hasUpstream)) {
        const auto key = std::pair(record.moveId, record.state);
        const auto known = pendingSince_.find(key);
        const MonotonicTime since = known == pendingSince_.end() ? now : known->second;
        pending.emplace(key, since);
        const auto overdue = std::chrono::duration_cast<std::chrono::milliseconds>(now - since);
        if (isRecorder(document, record.moveId, overdue))
            records.push_back(std::move(record));
    }
    pendingSince_ = std::move(pending);
    return records;
}

bool EvaluatorGroup::isRecorder(const intent::IntentDocument &document, const std::string &moveId,
                                std::chrono::milliseconds overdue) const
{
    const auto move = std::find_if(document.moves.begin(), document.moves.end(),
                                   [&](const auto &candidate) { return candidate.id == moveId; });
    if (move == document.moves.end())
        return false;
    const MemberRecord &self = membership_.self();
    const auto isOfService = membersOf(move->service);
    return isOfService(self)
           && membership::isAmongSelected(
                   self, membership_.table(), topicOf(move->service),
                   recordersPerMove
                           + static_cast<std::size_t>(overdue / recorderEscalationInterval),
                   isOfService);
}

bool EvaluatorGroup::hasServingUpstream(const ServiceName &service,
                                        const VersionName &version) const
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
