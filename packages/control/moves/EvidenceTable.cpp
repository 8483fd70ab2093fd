/** Implements EvidenceTable. */
#include "control/moves/EvidenceTable.h"

namespace boragetrack::control::moves {

namespace {

EvidenceCounts difference(const EvidenceCounts &later, const EvidenceCounts &earlier)
{
    EvidenceCounts delta;
    delta.calls = later.calls - earlier.calls;
    delta.failures = later.failures - earlier.failures;
    delta.broken = later.broken - earlier.broken;
    LatencyHistogram::Buckets buckets{};
    for (std::size_t i = 0; i < LatencyHistogram::bucketCount; ++i)
        buckets[i] = later.latencies.buckets()[i] - earlier.latencies.buckets()[i];
    delta.latencies.setBuckets(buckets);
    return delta;
}

} // namespace

std::optional<EvidenceCounts> EvidenceTable::merge(const EvidenceEntry &entry)
{
    EvidenceCounts &held = counts_[entry.key];
    if (entry.counts.calls <= held.calls)
        return std::nullopt;
    const EvidenceCounts delta = difference(entry.counts, held);
    held = entry.counts;
    return delta;
}

EvidenceCounts EvidenceTable::counts(const EvidenceKey &key) const
{
    const auto found = counts_.find(key);
    return found == counts_.end() ? EvidenceCounts{} : found->second;
}

std::vector<EvidenceEntry> EvidenceTable::countedBy(const core::identity::NodeId &node,
                                                    std::uint64_t generation) const
{
    std::vector<EvidenceEntry> entries;
    for (const auto &[key, counts] : counts_) {
        if (key.node == node && key.generation == generation)
            entries.push_back({key, counts});
    }
    return entries;
}

void EvidenceTable::retainMoves(const std::set<std::string> &moveIds)
{
    std::erase_if(counts_, [&](const auto &item) { return !moveIds.contains(item.first.moveId); });
}

} // namespace boragetrack::control::moves
