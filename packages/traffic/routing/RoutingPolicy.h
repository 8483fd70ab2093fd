/** Chooses among endpoints. */
#pragma once

#include "traffic/routing/Candidate.h"

#include <cstddef>
#include <random>
#include <span>

namespace boragetrack::traffic::routing {

/** Chooses the endpoint for one attempt; called by several traffic threads at once. */
class RoutingPolicy
{
public:
    virtual ~RoutingPolicy() = default;

    /** Returns the index of the chosen candidate. @param candidates at least one */
    virtual std::size_t choose(std::span<const Candidate> candidates, std::mt19937_64 &random) = 0;
};

} // namespace boragetrack::traffic::routing
