/** Outcomes of a group of requests. */
#pragma once

namespace boragetrack::emulator::results {

/** Counts requests by their outcomes and sums up their value to the callers. */
struct OutcomeCounts
{
    int requests = 0;
    int inTime = 0;
    int late = 0;
    int refused = 0;
    int failed = 0;
    /** Value if every request gets a response within its objective, and value of the responses
        received. */
    double offeredValue = 0.0;
    double deliveredValue = 0.0;

    /** Returns the share of the offered value that was delivered; 1 if none was offered. */
    double valueShare() const { return offeredValue > 0.0 ? deliveredValue / offeredValue : 1.0; }
};

} // namespace boragetrack::emulator::results
