/** Faults of the surroundings of usage reports in a simulation. */
#pragma once

namespace boragetrack::tests {

/** Probabilities of faults of single calls, and outages of whole services. */
struct UsageFaults
{
    /** A call takes effect, and its response is lost. */
    double lostResponse = 0;
    /** A call is lost before it takes effect. */
    double lostCall = 0;
    /** A call takes effect only seconds later. */
    double lateCall = 0;
    /** A call is refused for its rate. */
    double refusedCall = 0;
    bool isStoreOut = false;
    bool isReceiverOut = false;
};

} // namespace boragetrack::tests
