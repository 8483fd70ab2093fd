/** The kinds of fault in an emulated day. */
#pragma once

namespace boragetrack::emulator::plan {

/** Names what a fault does. */
enum class FaultKind {
    /** The rate of all callers is multiplied. */
    Burst,
    /** A share of the callers of the other data centres goes to one. */
    Shift,
    /** Some upstreams of a service work slower. */
    Slow,
    /** Some upstreams of a service end and come back cold. */
    Crash,
    /** Some upstreams of a service turn a share of their requests away. */
    Shed,
    /** A share of the callers repeats at once and more often. */
    RetryStorm
};

} // namespace boragetrack::emulator::plan
