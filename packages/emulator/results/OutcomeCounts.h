/** What became of some requests. */
#pragma once

namespace boragetrack::emulator::results {

/** Counts requests by their ends, and what they were worth to their callers. */
struct OutcomeCounts
{
    int requests = 0;
    int inTime = 0;
    int late = 0;
    int refused = 0;
    int failed = 0;
    double offeredValue = 0.0;
    double deliveredValue = 0.0;

    /** Returns the share of the worth that callers got; one when nothing was offeredValue. */
    double valueShare() const { return offeredValue > 0.0 ? deliveredValue / offeredValue : 1.0; }
};

} // namespace boragetrack::emulator::results
