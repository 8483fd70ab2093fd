/** All evidence that a node holds. */
#pragma once

#include "control/moves/EvidenceEntry.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace boragetrack::control::moves {

/** Merges the counts of all nodes: each node's counts only grow, so no coordinator is needed. */
class EvidenceTable
{
public:
    /** Merges an entry. @returns what it adds to the counts held before, if anything */
    std::optional<EvidenceCounts> merge(const EvidenceEntry &entry);

    /** Returns the counts held under a key. */
    EvidenceCounts counts(const EvidenceKey &key) const;

    /** Returns entries that changed after a mark, the latest first, and moves the mark forward.
        @param maximum the number of entries at most */
    std::vector<EvidenceEntry> takeChangedSince(std::uint64_t &mark, std::size_t maximum) const;

    /** Forgets the evidence of all moves but the given ones. */
    void keepOnly(const std::set<std::string> &moveIds);

private:
    struct Slot
    {
        EvidenceCounts counts;
        std::uint64_t change = 0;
    };

    std::map<EvidenceKey, Slot> slots_;
    std::uint64_t lastChange_ = 0;
};

} // namespace boragetrack::control::moves
