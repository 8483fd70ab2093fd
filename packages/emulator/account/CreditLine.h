/** What became of some requests. */
#pragma once

namespace boragetrack::emulator::account {

/** Counts requests by their ends, and what they were worth to their callers. */
struct CreditLine
{
    int asked = 0;
    int inTime = 0;
    int late = 0;
    int refused = 0;
    int failed = 0;
    double owed = 0.0;
    double earned = 0.0;

    /** Returns the share of the worth that callers got; one when nothing was owed. */
    double share() const { return owed > 0.0 ? earned / owed : 1.0; }
};

} // namespace boragetrack::emulator::account
