/** Implements EvidenceOutbox. */
#include "control/moves/EvidenceOutbox.h"

#include <algorithm>

namespace boragetrack::control::moves {

using core::identity::NodeId;
using core::timing::MonotonicTime;

void EvidenceOutbox::setEvaluators(const std::vector<NodeId> &judges)
{
    std::erase_if(sent_, [&](const auto &item) {
        return std::find(judges.begin(), judges.end(), item.first) == judges.end();
    });
}

std::vector<EvidenceEntry> EvidenceOutbox::dueEntries(const NodeId &judge,
                                                      const std::vector<EvidenceEntry> &own,
                                                      const NewVersionQuery &isOfNewVersion,
                                                      MonotonicTime now) const
{
    const auto held = sent_.find(judge);
    std::vector<EvidenceEntry> due;
    for (const EvidenceEntry &entry : own) {
        const bool isNew = isOfNewVersion(entry.key);
        if (held != sent_.end()) {
            const auto earlier = held->second.find(entry.key);
            if (earlier != held->second.end() && !isDue(entry, isNew, earlier->second, now))
                continue;
        }
        due.insert(isNew ? due.begin() : due.end(), entry);
    }
    if (due.size() > maxEntriesPerBatch)
        due.resize(maxEntriesPerBatch);
    return due;
}

bool EvidenceOutbox::isDue(const EvidenceEntry &entry, bool isOfNewVersion, const Sent &earlier,
                           MonotonicTime now)
{
    if (entry.counts.calls == earlier.counts.calls)
        return false;
    return isOfNewVersion || entry.counts.failures > earlier.counts.failures
           || entry.counts.broken > earlier.counts.broken
           || now - earlier.at >= oldVersionSendInterval;
}

void EvidenceOutbox::recordSent(const NodeId &judge, const std::vector<EvidenceEntry> &entries,
                                MonotonicTime now)
{
    auto &held = sent_[judge];
    for (const EvidenceEntry &entry : entries)
        held[entry.key] = Sent{entry.counts, now};
}

} // namespace boragetrack::control::moves
