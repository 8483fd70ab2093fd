/** The properties of a call that the choice of an endpoint depends on. */
#pragma once

#include <chrono>

namespace boragetrack::traffic::routing {

/** Describes the rank and the time limits of a call. */
struct CallRequirements
{
    /** The rank in the queues of upstreams; lower ranks run first. */
    int rank = 1;
    /** The time left until the latency objective; zero or negative when it has passed. */
    std::chrono::microseconds objective{0};
    /** The time left until the deadline. */
    std::chrono::microseconds budget{0};
    /** Whether the call may run more than once. */
    bool isIdempotent = false;
};

} // namespace boragetrack::traffic::routing
