/** The properties of an arriving request that admission depends on. */
#pragma once

#include "core/identity/OrganisationName.h"
#include "core/identity/RouteName.h"
#include "core/timing/MonotonicTime.h"

#include <cstdint>

namespace boragetrack::traffic::admission {

/** Describes a request that arrives at the inbound proxy. */
struct Arrival
{
    /** Identifies the request until it ends. */
    std::uint64_t ticket = 0;
    core::identity::RouteName route;
    /** The priority rank: lower ranks run first, and nested calls have rank 0. */
    int rank = 1;
    /** The latency objective: a response after this time has less value. */
    core::timing::MonotonicTime objective;
    /** The time until which the caller waits for a response. */
    core::timing::MonotonicTime deadline;
    /** The organisation that the request belongs to; empty if there is none. */
    core::identity::OrganisationName organisation{};
};

} // namespace boragetrack::traffic::admission
