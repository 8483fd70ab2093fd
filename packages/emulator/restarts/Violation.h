/** A broken guarantee in a simulation of restarts. */
#pragma once

#include <chrono>
#include <string>

namespace boragetrack::emulator::restarts {

/** Describes which guarantee was broken, when and how. */
struct Violation
{
    /** Time from the start of the simulation. */
    std::chrono::milliseconds at{0};
    /** One of the names in RestartRules. */
    std::string rule;
    /** The node concerned, and what was seen. */
    std::string detail;
};

} // namespace boragetrack::emulator::restarts
