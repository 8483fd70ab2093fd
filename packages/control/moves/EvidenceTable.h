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

    /** Returns the entries that one process counted itself. */
    std::vector<EvidenceEntry> countedBy(const core::identity::NodeId &node,
                                         std::uint64_t generation) const;

    /** Forgets the evidence of all moves but the given ones. */
    void retainMoves(const std::set<std::string> &moveIds);

private:
    std::map<EvidenceKey, EvidenceCounts> counts_;
};

} // namespace boragetrack::control::moves
