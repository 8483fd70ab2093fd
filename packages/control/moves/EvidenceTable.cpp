/** Implements EvidenceTable. */
#include "control/moves/EvidenceTable.h"

#include <algorithm>

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
    Slot &slot = slots_[entry.key];
    if (entry.counts.calls <= slot.counts.calls)
        return std::nullopt;
    const EvidenceCounts delta = difference(entry.counts, slot.counts);
    slot.counts = entry.counts;
    slot.change = ++lastChange_;
    return delta;
}

EvidenceCounts EvidenceTable::counts(const EvidenceKey &key) const
{
    const auto found = slots_.find(key);
    return found == slots_.end() ? EvidenceCounts{} : found->second.counts;
}

std::vector<EvidenceEntry> EvidenceTable::takeChangedSince(std::uint64_t &mark,
                                                           std::size_t maximum) const
{
    std::vector<std::pair<std::uint64_t, EvidenceEntry>> changed;
    for (const auto &[key, slot] : slots_) {
        if (slot.change > mark)
            changed.emplace_back(slot.change, EvidenceEntry{key, slot.counts});
    }
    std::sort(changed.begin(), changed.end(),
              [](const auto &a, const auto &b) { return a.first > b.first; });
    if (changed.size() > maximum)
        changed.resize(maximum);
    std::vector<EvidenceEntry> entries;
    entries.reserve(changed.size());
    for (auto &[change, entry] : changed)
        entries.push_back(std::move(entry));
    mark = lastChange_;
    return entries;
}

void EvidenceTable::keepOnly(const std::set<std::string> &moveIds)
{
    std::erase_if(slots_, [&](const auto &item) { return !moveIds.contains(item.first.moveId); });
}

} // namespace boragetrack::control::moves
