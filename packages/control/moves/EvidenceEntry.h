/** One node's evidence as it is sent to others. */
#pragma once

#include "control/moves/EvidenceCounts.h"
#include "control/moves/EvidenceKey.h"

namespace boragetrack::control::moves {

/** Joins counts to their key. */
struct EvidenceEntry
{
    EvidenceKey key;
    EvidenceCounts counts;
};

} // namespace boragetrack::control::moves
