/** Calls that an upstream makes while it works on a request. */
#pragma once

#include <string>

namespace boragetrack::emulator::plan {

/** Describes calls of one kind inside requests of another. */
struct NestedCalls
{
    std::string kind;
    int times = 1;
    /** The share of requests that make them. */
    double share = 1.0;
    /** Whether they are made at once rather than one after the other. */
    bool isConcurrent = false;
};

} // namespace boragetrack::emulator::plan
