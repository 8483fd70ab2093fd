/** The callers of a data centre. */
#pragma once

#include <chrono>
#include <map>
#include <string>

namespace boragetrack::emulator::plan {

/** Describes what arrives at the nodes of one data centre. */
struct DataCentrePlan
{
    std::string name;
    /** Requests a second, all kinds together. */
    double rate = 100.0;
    /** The parts of the kinds in that rate, relative to each other. */
    std::map<std::string, double> mix;
    /** The share by which the rate swings up and down, and how long a swing takes. */
    double rateAmplitude = 0.0;
    std::chrono::duration<double> ratePeriod{10.0};
};

} // namespace boragetrack::emulator::plan
