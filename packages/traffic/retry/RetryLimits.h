/** The bounds on repeats. */
#pragma once

#include <chrono>

namespace boragetrack::traffic::retry {

/** Bounds the repeats of calls to one service in any window of time. */
struct RetryLimits
{
    std::chrono::milliseconds window{10'000};
    /** Repeats in a window beyond the part of all calls that the intent allows. */
    double reserve = 50.0;
    /** Whether the reserve is one for all nodes together, or one for each. */
    bool isReserveShared = false;
    /** The part of the intent's percentage that is used: calls that a repeated call makes count as
        repeats where they arrive, but can not be told apart there. */
    double budgetFraction = 1.0;
};

} // namespace boragetrack::traffic::retry
