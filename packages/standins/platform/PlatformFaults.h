/** Faults that the platform stand-in injects; set with a request to /faults. */
#pragma once

#include <chrono>

namespace boragetrack::standins::platform {

/** Contains the active faults; their keys in the request are given below. */
struct PlatformFaults
{
    /** Whether every call is refused with status 503 and without effect; key "out". */
    bool isUnavailable = false;
    /** Additional delay of every call; key "delayMs". */
    std::chrono::milliseconds delay{0};
    /** Number of next writes that take effect but return status 500; key "lostWriteAnswers". */
    int lostWriteResponses = 0;
    /** Number of next reads and watches that return the previous value; key "crossedReads". */
    int staleReads = 0;
};

} // namespace boragetrack::standins::platform
