/** Routing by the expected time of the answer. */
#pragma once

#include "traffic/routing/RoutingPolicy.h"

namespace boragetrack::traffic::routing {

/**
    Sends a call where its answer is expected in time, in its own data centre if possible.

    Meant for loads near and above what the upstreams bear, with upstreams of different speeds. The
    expected time is the wait that the endpoint reported for the call's rank, corrected for what
    this node sent since and for the report's age, plus the usual work of the route there. An
    endpoint whose calls fail counts as slower by the time that they cost. A call that no endpoint
    can answer in time is turned away at once.
*/
class EarliestFinishRouting : public RoutingPolicy
{
public:
    RoutingChoice choose(std::span<const Candidate> candidates, const CallNeeds &needs,
                         std::mt19937_64 &random) override;
};

} // namespace boragetrack::traffic::routing
