/** A kind of request. */
#pragma once

#include "emulator/plan/NestedCalls.h"
#include "emulator/plan/ServiceTimePlan.h"

#include <vector>

namespace boragetrack::emulator::plan {

/** Describes the requests of one route. */
struct KindPlan
{
    std::string name;
    std::string service;
    /** Whether a request may run more than once. */
    bool isIdempotent = true;
    int priority = 1;
    std::chrono::milliseconds objective{300};
    std::chrono::milliseconds deadline{1200};
    /** What an answer within the objective is worth, and a later one. */
    double value = 1.0;
    double lateValue = 0.3;
    /** How often the caller tries again. */
    int callerRetries = 1;
    ServiceTimePlan serviceTime;
    /** The bytes of an answer. */
    std::size_t bytes = 1500;
    std::vector<NestedCalls> calls;
};

} // namespace boragetrack::emulator::plan
