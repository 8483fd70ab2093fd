/** The faults that the platform stand-in causes on command. */
#pragma once

#include <chrono>

namespace boragetrack::standins::platform {

/** States which faults are on. */
struct PlatformFaults
{
    /** Every call is refused without effect. */
    bool isUnavailable = false;
    /** Every call takes so much longer. */
    std::chrono::milliseconds delay{0};
    /** So many of the next writes take effect while their answers are lost. */
    int lostWriteResponses = 0;
    /** So many of the next reads and watches answer with the value before the present one. */
    int staleReads = 0;
};

} // namespace boragetrack::standins::platform
