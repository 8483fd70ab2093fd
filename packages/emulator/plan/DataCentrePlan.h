/** Load of one data centre in a load plan. */
#pragma once

#include <chrono>
#include <map>
#include <string>

namespace boragetrack::emulator::plan {

/** Describes the requests that arrive at the nodes of one data centre. */
struct DataCentrePlan
{
    std::string name;
    /** Mean arrival rate of all kinds together, in requests per second. */
    double rate = 100.0;
    /** Relative weight of each kind in the arrivals, by the kind's name. */
    std::map<std::string, double> mix;
    /** Amplitude of the sinusoidal variation of the rate, as a fraction of it, and its period. */
    double rateAmplitude = 0.0;
    std::chrono::duration<double> ratePeriod{10.0};
};

} // namespace boragetrack::emulator::plan
