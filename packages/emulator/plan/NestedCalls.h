/** Nested calls in a load plan. */
#pragma once

#include <string>

namespace boragetrack::emulator::plan {

/** Describes the calls of one kind that a running request of another kind makes. */
struct NestedCalls
{
    std::string kind;
    /** Number of calls per request. */
    int times = 1;
    /** Fraction of requests that make these calls. */
    double share = 1.0;
    /** Whether they are sent concurrently rather than one after the other. The value of a kind's
        first entry applies to all its nested calls. */
    bool isConcurrent = false;
};

} // namespace boragetrack::emulator::plan
