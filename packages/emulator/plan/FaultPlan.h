/** A fault in an emulated day. */
#pragma once

#include "emulator/plan/FaultKind.h"

#include <chrono>
#include <string>

namespace boragetrack::emulator::plan {

/** Describes one fault; which fields count depends on its kind. */
struct FaultPlan
{
    FaultKind kind = FaultKind::Burst;
    std::chrono::milliseconds startOffset{0};
    std::chrono::milliseconds duration{1000};
    /** Burst: the factor of the rate. Slow: the factor of the work. RetryStorm: how often they try.
     */
    double factor = 1.0;
    /** Shift, RetryStorm: the share of callers. Slow, Crash, Shed: that of upstreams. */
    double share = 0.0;
    /** Shed: the share of its requests that an upstream turns away. */
    double requestShare = 0.0;
    /** Slow, Crash, Shed: the service; Shift: the data centre. */
    std::string target;
};

} // namespace boragetrack::emulator::plan
