/** The unit in which nodes exchange evidence. */
#pragma once

#include "control/moves/EvidenceCounts.h"
#include "control/moves/EvidenceKey.h"

namespace boragetrack::control::moves {

/** Combines counts with the key that they belong to. */
struct EvidenceEntry
{
    EvidenceKey key;
    EvidenceCounts counts;
};

} // namespace boragetrack::control::moves
