/** Counters of the calls to one version on one route. */
#pragma once

#include "control/moves/LatencyHistogram.h"

#include <cstdint>

namespace boragetrack::control::moves {

/** Holds counts that never decrease, so that of two copies the one with more calls is newer. */
struct EvidenceCounts
{
    std::uint32_t calls = 0;
    /** Calls that ran and failed. */
    std::uint32_t failures = 0;
    /** Calls whose connection broke or whose deadline passed while they ran. */
    std::uint32_t broken = 0;
    /** Latencies of the calls that ended while the upstream was no longer cold. */
    LatencyHistogram latencies;
};

} // namespace boragetrack::control::moves
