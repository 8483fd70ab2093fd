/** The settings of the retry budget. */
#pragma once

#include <chrono>

namespace boragetrack::traffic::retry {

/** Bounds the retries of calls to one service within a sliding window. */
struct RetryLimits
{
    std::chrono::milliseconds window{10'000};
    /** Retries per window in addition to the percentage of calls that the intent allows. */
    double reserve = 50.0;
    /** Whether all nodes together share one reserve; otherwise each node has its own. */
    bool isReserveShared = false;
    /** The fraction of the intent's percentage that a node uses. A value below 1 leaves room, as
        nodes do not exchange how much they have spent and some retries can not be recognised. */
    double budgetFraction = 1.0;
};

} // namespace boragetrack::traffic::retry
