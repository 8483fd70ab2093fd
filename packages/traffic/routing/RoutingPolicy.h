/** Chooses among endpoints. */
#pragma once

#include "traffic/routing/CallRequirements.h"
#include "traffic/routing/Candidate.h"
#include "traffic/routing/RoutingChoice.h"

#include <random>
#include <span>

namespace boragetrack::traffic::routing {

/** Chooses the endpoint for one attempt. */
class RoutingPolicy
{
public:
    virtual ~RoutingPolicy() = default;

    /** Returns the choice for a call. @param candidates at least one */
    virtual RoutingChoice choose(std::span<const Candidate> candidates,
                                 const CallRequirements &needs, std::mt19937_64 &random)
            = 0;
};

} // namespace boragetrack::traffic::routing
