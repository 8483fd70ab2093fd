/** Routing by the better of two random choices. */
#pragma once

#include "traffic/routing/RoutingPolicy.h"

namespace boragetrack::traffic::routing {

/** Draws two endpoints by weight and takes the less loaded one; stays in its own data centre while
    an endpoint there has headroom. */
class TwoChoicesRouting : public RoutingPolicy
{
public:
    RoutingChoice choose(std::span<const Candidate> candidates, const CallRequirements &needs,
                         std::mt19937_64 &random) override;
};

} // namespace boragetrack::traffic::routing
