/** Kind of request in a load plan. */
#pragma once

#include "emulator/plan/NestedCalls.h"
#include "emulator/plan/ServiceTimePlan.h"

#include <vector>

namespace boragetrack::emulator::plan {

/** Describes the requests of one kind; each kind has a route of its own. */
struct KindPlan
{
    std::string name;
    std::string service;
    /** Whether a request may run more than once, so that it may be retried after a failure. */
    bool isIdempotent = true;
    /** Priority rank; 0 is the most urgent. */
    int priority = 1;
    std::chrono::milliseconds objective{300};
    std::chrono::milliseconds deadline{1200};
    /** Value of a response to the caller within the objective, and after it within the deadline. */
    double value = 1.0;
    double lateValue = 0.3;
    /** Maximum number of further attempts by the caller. */
    int callerRetries = 1;
    ServiceTimePlan serviceTime;
    /** Size of a response body in bytes. */
    std::size_t bytes = 1500;
    std::vector<NestedCalls> calls;
};

} // namespace boragetrack::emulator::plan
