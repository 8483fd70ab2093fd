/** How long upstreams work on requests of a kind. */
#pragma once

#include <chrono>

namespace boragetrack::emulator::plan {

/** Describes a log-normal distribution with a heavier tail. */
struct ServiceTimePlan
{
    std::chrono::microseconds mean{50'000};
    /** The standard deviation of the logarithm. */
    double spread = 0.5;
    /** The share of requests that take tailFactor times as long. */
    double tailShare = 0.0;
    double tailFactor = 1.0;
};

} // namespace boragetrack::emulator::plan
