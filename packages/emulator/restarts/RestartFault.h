/** One event of a restart plan. */
#pragma once

#include "emulator/restarts/RestartFaultKind.h"

#include <chrono>
#include <set>

namespace boragetrack::emulator::restarts {

/** Describes one event. */
struct RestartFault
{
    RestartFaultKind kind = RestartFaultKind::Kill;
    /** Time from the start of the simulation. */
    std::chrono::milliseconds at{0};
    /** How long the processes are down, or the store or the network is disturbed; for a departure,
        by how much the earlier announcement is late; for a late watch, by how much changes are;
        for silent links, the time until they are replaced. Unused by changes and moves. */
    std::chrono::milliseconds duration{0};
    /** The indexes of the affected nodes; unused by changes, moves and faults of followers
        (for a late watch, the first index chooses the follower). */
    std::set<std::size_t> nodes;
};

} // namespace boragetrack::emulator::restarts
