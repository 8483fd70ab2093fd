/** Routing by the power of two random choices. */
#pragma once

#include "traffic/routing/RoutingPolicy.h"

namespace boragetrack::traffic::routing {

/** Draws two endpoints by weight and chooses the less loaded one; stays in the local data centre
    while an endpoint there has headroom. */
class TwoChoicesRouting : public RoutingPolicy
{
public:
    RoutingChoice choose(std::span<const Candidate> candidates,
                         const CallRequirements &requirements, std::mt19937_64 &random) override;
};

} // namespace boragetrack::traffic::routing
