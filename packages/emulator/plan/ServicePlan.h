/** A service and its upstreams. */
#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace boragetrack::emulator::plan {

/** Describes the upstreams of one service, which are spread over the data centres by turns. */
struct ServicePlan
{
    std::string name;
    int upstreams = 3;
    /** Requests at once for each upstream, and those that it queues itself. */
    int slots = 10;
    int queueLimit = 40;
    /** The speeds that the upstreams have by turns; 2 is twice as fast as 1. */
    std::vector<double> speeds{1.0};
    /** Requests a second that a cold upstream bears. */
    double coldRate = 30.0;
    /** How much longer a cold upstream works on a request, and for how long it stays cold. */
    double coldFactor = 2.0;
    std::chrono::milliseconds coldDuration{3000};
};

} // namespace boragetrack::emulator::plan
