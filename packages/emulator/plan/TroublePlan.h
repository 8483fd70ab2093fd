/** A trouble in an emulated day. */
#pragma once

#include "emulator/plan/TroubleKind.h"

#include <chrono>
#include <string>

namespace boragetrack::emulator::plan {

/** Describes one trouble; which fields count depends on its kind. */
struct TroublePlan
{
    TroubleKind kind = TroubleKind::Burst;
    std::chrono::milliseconds at{0};
    std::chrono::milliseconds length{1000};
    /** Burst: the factor of the rate. Slow: the factor of the work. Repeaters: how often they try.
     */
    double factor = 1.0;
    /** Shift, Repeaters: the share of callers. Slow, Crash, Shed: that of upstreams. */
    double share = 0.0;
    /** Shed: the share of its requests that an upstream turns away. */
    double requestShare = 0.0;
    /** Slow, Crash, Shed: the service; Shift: the data centre. */
    std::string where;
};

} // namespace boragetrack::emulator::plan
