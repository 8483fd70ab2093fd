/** Outcome of a caller's request. */
#pragma once

namespace boragetrack::emulator::results {

/** Outcome of a request after all its attempts. */
enum class RequestOutcome {
    /** Response within the latency objective. */
    InTime,
    /** Response after the objective but within the deadline. */
    Late,
    /** Refused in the last attempt without being run. */
    Refused,
    /** Failed in the last attempt, or no response by the deadline. */
    Failed
};

} // namespace boragetrack::emulator::results
