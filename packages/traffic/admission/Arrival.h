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
    /** For a nested call, the rank of the request that makes it; zero if that is not known. */
    int parentRank = 0;

    /** Returns whether a running request waits for this one. */
    bool isNested() const { return rank == 0; }

    /** Returns the rank by which urgency is compared, which a nested call shares with the request
        that makes it. */
    int urgency() const { return isNested() ? parentRank : rank; }
};

} // namespace boragetrack::traffic::admission
