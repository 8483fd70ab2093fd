/** An order of events for a fleet. */
#pragma once

#include "emulator/restarts/RestartFault.h"

#include <cstdint>
#include <string>
#include <vector>

namespace boragetrack::emulator::restarts {

/** Describes a fleet and what happens to it. Nodes are numbered from zero; node n is in data centre
    n modulo the number of data centres. */
struct RestartPlan
{
    /** Determines delays, losses and the random choices of the nodes. */
    std::uint64_t seed = 0;
    std::size_t nodeCount = 0;
    std::size_t dataCentreCount = 1;
    /** The nodes' ids, which decide who follows the store and who are neighbours; n0, n1 and so on
        if empty. */
    std::vector<std::string> names;
    std::chrono::milliseconds length{0};
    std::vector<RestartFault> faults;
};

/** Returns a plan as text, one line for the fleet and one for each event. */
std::string describe(const RestartPlan &plan);

} // namespace boragetrack::emulator::restarts
