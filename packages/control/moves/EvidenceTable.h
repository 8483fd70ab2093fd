/** Store of all evidence that a node counted or received. */
#pragma once

#include "control/moves/EvidenceEntry.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace boragetrack::control::moves {

/** Merges the counts of all nodes. Entries may arrive late, repeatedly and in any order, because
    each node's counts never decrease. */
class EvidenceTable
{
public:
    /** Merges an entry.
        @returns the increase over the stored counts, or nothing if the entry is not newer */
    std::optional<EvidenceCounts> merge(const EvidenceEntry &entry);

    /** Returns the counts stored for a key; zeros if there are none. */
    EvidenceCounts counts(const EvidenceKey &key) const;

    /** Returns the entries that the given run of a node counted. */
    std::vector<EvidenceEntry> countedBy(const core::identity::NodeId &node,
                                         std::uint64_t generation) const;

    /** Removes the evidence of all moves except the given ones. */
    void retainMoves(const std::set<std::string> &moveIds);

private:
    std::map<EvidenceKey, EvidenceCounts> counts_;
};

} // namespace boragetrack::control::moves
