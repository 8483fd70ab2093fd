/** Fault in a load plan. */
#pragma once

#include "emulator/plan/FaultKind.h"

#include <chrono>
#include <string>

namespace boragetrack::emulator::plan {

/** Describes one fault. Which of the fields apply depends on the kind. */
struct FaultPlan
{
    FaultKind kind = FaultKind::Burst;
    /** Time from the start of the simulation. */
    std::chrono::milliseconds startOffset{0};
    std::chrono::milliseconds duration{1000};
    /** Burst: factor on the arrival rate. Slow: factor on the service time. RetryStorm: maximum
        number of retries. */
    double factor = 1.0;
    /** Shift, RetryStorm: fraction of requests. Slow, Crash, Shed: fraction of the service's
        upstreams, rounded up. */
    double share = 0.0;
    /** Shed: fraction of requests that an affected upstream sheds. */
    double requestShare = 0.0;
    /** Slow, Crash, Shed: name of the service. Shift: name of the data centre. */
    std::string target;
};

} // namespace boragetrack::emulator::plan
