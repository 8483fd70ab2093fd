/** The counts of one process that are not reported yet. */
#pragma once

#include "control/usage/WindowCounts.h"
#include "core/identity/NodeId.h"

#include <vector>

namespace boragetrack::control::usage {

/** Replaces all earlier snapshots of the same process, as counts are cumulative. A window that is
    missing has no counts in this process. */
struct UsageSnapshot
{
    core::identity::NodeId node;
    /** Distinguishes the processes of a node; higher for a later one. */
    std::uint64_t generation = 0;
    /** Orders the snapshots of a process. */
    std::uint64_t sequence = 0;
    // Invariant: in the order of the windows.
    std::vector<WindowCounts> windows;
};

} // namespace boragetrack::control::usage
