/** Parameters of the upstream stand-in. */
#pragma once

#include <chrono>
#include <string>

namespace boragetrack::standins::upstream {

/**
    Describes the capacity, the service time and the injected faults of an upstream.

    The upstream is degraded for a request if all conditions below hold: the time since the start,
    the number of concurrent requests and the prefix of the target. A degraded upstream fails some
    requests and runs all of them more slowly.
*/
struct UpstreamBehaviour
{
    /** Maximum number of concurrent requests. */
    int slots = 10;
    /** Maximum number of requests that wait for a slot; further ones are shed. */
    int queueLimit = 40;
    /** Duration of a request while neither cold nor degraded. */
    std::chrono::microseconds serviceTime{2000};
    /** The time after a start in which the upstream is cold: service times are multiplied and fewer
        requests run concurrently. */
    std::chrono::milliseconds coldDuration{1500};
    /** Factor of the service time while cold. */
    int coldSlowdown = 3;
    /** Maximum number of concurrent requests while cold. */
    int coldSlots = 3;
    /** Percentage of requests that fail while degraded. */
    int failPercent = 0;
    /** Factor of the service time while degraded. */
    int slowdown = 1;
    /** Degraded only after this time since the start. */
    std::chrono::milliseconds degradedAfter{0};
    /** Degraded only while at least this many requests are running, including the one itself. */
    int degradedFromInFlight = 0;
    /** Degraded only for request targets with this prefix; empty for all. */
    std::string degradedTargetPrefix;
};

} // namespace boragetrack::standins::upstream
