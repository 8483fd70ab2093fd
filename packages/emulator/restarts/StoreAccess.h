/** How the simulated store treats the calls of a node. */
#pragma once

namespace boragetrack::emulator::restarts {

/** Distinguishes what becomes of calls to the store. */
enum class StoreAccess {
    /** Calls are executed and responded to. */
    Served,
    /** Calls get no response and aren't executed. */
    Silent,
    /** Calls are refused; watches that the store has accepted stay. */
    Busy,
    /** Calls are executed, and half of the responses are lost. */
    Lossy,
    /** Calls are refused, and watches that the store has accepted get no response. */
    Rejected,
    /** Calls are refused as by an outage; watches that the store has accepted stay. */
    Refused,
    /** Calls are executed, and the response to a watch that waited for a change names the last
       change without carrying it, as if that one came while the response was written. */
    Early,
};

} // namespace boragetrack::emulator::restarts
