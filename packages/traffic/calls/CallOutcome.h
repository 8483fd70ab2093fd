/** What became of a call. */
#pragma once

namespace boragetrack::traffic::calls {

/** Tells whether a call ran. */
enum class CallOutcome {
    /** The upstream answered, and the answer is whole. */
    Completed,
    /** The upstream certainly did not run the call. */
    NotRun,
    /** The call may have run. */
    Unknown,
    /** Another node holds the claim on the call's idempotency key; this node did not run it. */
    Claimed,
};

} // namespace boragetrack::traffic::calls
