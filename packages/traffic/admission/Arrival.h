/** A request that arrives beside an upstream. */
#pragma once

#include "core/identity/RouteName.h"
#include "core/timing/MonotonicTime.h"

#include <cstdint>

namespace boragetrack::traffic::admission {

/** Describes a request as admission needs it. */
struct Arrival
{
    /** Names the request until it ends. */
    std::uint64_t ticket = 0;
    core::identity::RouteName route;
    /** Lower ranks go first; calls that a running request waits for have rank 0. */
    int rank = 1;
    /** The end of the time within which an answer is worth most. */
    core::timing::MonotonicTime objective;
    /** The end of the time that the caller waits. */
    core::timing::MonotonicTime deadline;
};

} // namespace boragetrack::traffic::admission
