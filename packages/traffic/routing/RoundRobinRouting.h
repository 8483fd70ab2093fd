/** The baseline routing policy, for comparison with the others. */
#pragma once

#include "traffic/routing/RoutingPolicy.h"

namespace boragetrack::traffic::routing {

/** Cycles through the candidates regardless of their load and data centre. */
class RoundRobinRouting : public RoutingPolicy
{
public:
    RoutingChoice choose(std::span<const Candidate> candidates,
                         const CallRequirements & /*requirements*/,
                         std::mt19937_64 & /*random*/) override
    {
        return RoutingChoice{next_++ % candidates.size(), {}};
    }

private:
    std::size_t next_ = 0;
};

} // namespace boragetrack::traffic::routing
