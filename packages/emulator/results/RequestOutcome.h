/** How a caller's request ended. */
#pragma once

namespace boragetrack::emulator::results {

/** Names the ends of a request, all its tries together. */
enum class RequestOutcome {
    /** Answered within its objective. */
    InTime,
    /** Answered within its deadline. */
    Late,
    /** Refused as not run. */
    Refused,
    /** Failed, or without an answer at its deadline. */
    Failed
};

} // namespace boragetrack::emulator::results
