/** How long a change took. */
#pragma once

#include "emulator/restarts/RestartFaultKind.h"

#include <chrono>
#include <vector>

namespace boragetrack::emulator::restarts {

/** Describes how long a change took, and what was wrong meanwhile. */
struct ChangeDelay
{
    /** From the acknowledgement until it was in force on the last node in touch; rounded up to the
        interval of the checks. */
    std::chrono::milliseconds delay{0};
    /** The disturbances by DisturbancesAtChange. */
    std::vector<RestartFaultKind> disturbances;
};

/** Returns whether a change broke RestartRules' changeReserveRule. */
bool exceedsReserve(const ChangeDelay &change);

} // namespace boragetrack::emulator::restarts
