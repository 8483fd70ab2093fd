/** Selects entries by comparing the current counts with those that were last sent to the same
    evaluator. Entries about new versions come first, and a batch is cut at its maximum size. */
#include "control/moves/EvidenceOutbox.h"

#include <algorithm>

namespace boragetrack::control::moves {

using core::identity::NodeId;
using core::timing::MonotonicTime;

void EvidenceOutbox::setEvaluators(const std::vector<NodeId> &evaluators)
{
    std::erase_if(sent_, [&](const auto &item) {
        return std::find(evaluators.begin(), evaluators.end(), item.first) == evaluators.end();
    });
}

std::vector<EvidenceEntry> EvidenceOutbox::dueEntries(const NodeId &evaluator,
                                                      const std::vector<EvidenceEntry> &local,
                                                      const NewVersionQuery &isOfNewVersion,
                                                      MonotonicTime now) const
{
    const auto lastSent = sent_.find(evaluator);
    std::vector<EvidenceEntry> due;
    for (const EvidenceEntry &entry : local) {
        const bool isOfNew = isOfNewVersion(entry.key);
        if (lastSent != sent_.end()) {
            const auto previous = lastSent->second.find(entry.key);
            if (previous != lastSent->second.end() && !isDue(entry, isOfNew, previous->second, now))
                continue;
        }
        due.insert(isOfNew ? due.begin() : due.end(), entry);
    }
    if (due.size() > maxEntriesPerBatch)
        due.resize(maxEntriesPerBatch);
    return due;
}

bool EvidenceOutbox::isDue(const EvidenceEntry &entry, bool isOfNewVersion, const Sent &previous,
                           MonotonicTime now)
{
    if (entry.counts.calls == previous.counts.calls)
        return false;
    return isOfNewVersion || entry.counts.failures > previous.counts.failures
           || entry.counts.broken > previous.counts.broken
           || now - previous.at >= oldVersionSendInterval;
}

void EvidenceOutbox::recordSent(const NodeId &evaluator, const std::vector<EvidenceEntry> &entries,
                                MonotonicTime now)
{
    auto &lastSent = sent_[evaluator];
    for (const EvidenceEntry &entry : entries)
        lastSent[entry.key] = Sent{entry.counts, now};
}

} // namespace boragetrack::control::moves
