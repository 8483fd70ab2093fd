/** What a node counted for one route and version. */
#pragma once

#include "control/moves/LatencyHistogram.h"

#include <cstdint>

namespace boragetrack::control::moves {

/** Holds counts that only grow, so that the later of two copies is the one with more calls. */
struct EvidenceCounts
{
    std::uint32_t calls = 0;
    /** Calls that ran and failed. */
    std::uint32_t failures = 0;
    /** Calls whose connection broke or whose deadline passed while they ran. */
    std::uint32_t broken = 0;
    /** Latencies of the calls that came after the upstream's cold start. */
    LatencyHistogram latencies;
};

} // namespace boragetrack::control::moves
