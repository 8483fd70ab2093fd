/** Kinds of fault in a load plan. */
#pragma once

namespace boragetrack::emulator::plan {

/** Effect of a fault. */
enum class FaultKind {
    /** Multiplies the arrival rate in all data centres. */
    Burst,
    /** Moves a share of the requests of the other data centres to one data centre. */
    Shift,
    /** Multiplies the service time of some upstreams of a service. */
    Slow,
    /** Stops some upstreams of a service, which restart cold at the end of the fault. */
    Crash,
    /** Makes some upstreams of a service shed a share of their requests. */
    Shed,
    /** Makes a share of the callers retry immediately and more often. */
    RetryStorm
};

} // namespace boragetrack::emulator::plan
