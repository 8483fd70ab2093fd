/** Distribution of service times in a load plan. */
#pragma once

#include <chrono>

namespace boragetrack::emulator::plan {

/** Describes a log-normal distribution with an additional tail of slow requests. */
struct ServiceTimePlan
{
    /** Mean without the tail, at speed 1. */
    std::chrono::microseconds mean{50'000};
    /** Standard deviation of the logarithm. */
    double spread = 0.5;
    /** Fraction of requests that take tailFactor times as long. */
    double tailShare = 0.0;
    double tailFactor = 1.0;
};

} // namespace boragetrack::emulator::plan
