/** Service in a load plan. */
#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace boragetrack::emulator::plan {

/** Describes the upstreams of one service, which are assigned to the data centres in round-robin
    order. */
struct ServicePlan
{
    std::string name;
    int upstreams = 3;
    /** Maximum number of concurrent requests in each upstream. It sheds requests while
        `slots + queueLimit` of them wait in it. */
    int slots = 10;
    int queueLimit = 40;
    /** Relative speeds, assigned to the upstreams in round-robin order; 2 is twice as fast as 1. */
    std::vector<double> speeds{1.0};
    /** Rate that a cold upstream can serve, in requests per second. */
    double coldRate = 30.0;
    /** Factor on the service time of a cold upstream, and how long it is cold after a start. */
    double coldFactor = 2.0;
    std::chrono::milliseconds coldDuration{3000};
};

} // namespace boragetrack::emulator::plan
