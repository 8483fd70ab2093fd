/** The baseline routing: one endpoint after the other. */
#pragma once

#include "traffic/routing/RoutingPolicy.h"

namespace boragetrack::traffic::routing {

/** Takes the endpoints in turn without regard to load; serves as the baseline. */
class RoundRobinRouting : public RoutingPolicy
{
public:
    RoutingChoice choose(std::span<const Candidate> candidates, const CallRequirements & /*needs*/,
                         std::mt19937_64 & /*random*/) override
    {
        return RoutingChoice{next_++ % candidates.size(), {}};
    }

private:
    std::size_t next_ = 0;
};

} // namespace boragetrack::traffic::routing
