/** How the upstream stand-in behaves. */
#pragma once

#include <chrono>
#include <string>

namespace boragetrack::standins::upstream {

/** States an upstream's capacity, speed and badness. */
struct UpstreamBehaviour
{
    int slots = 10;
    /** Requests that may wait for a slot; further ones are shed. */
    int queueLimit = 40;
    std::chrono::microseconds serviceTime{2000};
    /** After a start, requests take longer and fewer run at once. */
    std::chrono::milliseconds coldDuration{1500};
    int coldSlowdown = 3;
    int coldSlots = 3;
    /** Badness: the share of requests that fail, and how much longer all take. */
    int failPercent = 0;
    int slowdown = 1;
    /** Badness begins so long after the start. */
    std::chrono::milliseconds degradedAfter{0};
    /** Badness shows only with at least so many requests at once. */
    int degradedFromInFlight = 0;
    /** Badness shows only on targets that start with this. */
    std::string degradedTargetPrefix;
};

} // namespace boragetrack::standins::upstream
