/** Whether a call ran, as far as the node knows. */
#pragma once

namespace boragetrack::traffic::calls {

/** The result of a call or of one attempt. The order of the enumerators is part of the peer
    protocol. */
enum class CallOutcome {
    /** The upstream ran the call, and its response is complete. */
    Completed,
    /** The upstream certainly did not run the call. */
    NotRun,
    /** The call may have run. */
    Unknown,
    /** Another node holds the claim on the call's idempotency key; this node did not run it. */
    Claimed,
};

} // namespace boragetrack::traffic::calls
