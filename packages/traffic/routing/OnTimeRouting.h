/** Routing by the chance of an answer in time. */
#pragma once

#include "traffic/routing/CrossDataCentreCost.h"
#include "traffic/routing/RoutingPolicy.h"

namespace boragetrack::traffic::routing {

/**
    Sends a call where its answer is most likely to be on time, in its own data centre unless
   another one is clearly better.

    Meant for loads near and above what the upstreams bear, with upstreams of different speeds. The
    chance follows from the wait that the endpoint reported for the call's rank, corrected for what
    this node sent since and for the report's age, and from the usual work of the route there; calls
    that failed there lower it. Only a few endpoints are drawn for each call: all nodes choose by
    reports of about the same age, and would otherwise flood the endpoint that was freest. A call
    that no endpoint can answer in time is turned away at once.
*/
class OnTimeRouting : public RoutingPolicy
{
public:
    explicit OnTimeRouting(const CrossDataCentreCost &crossingCost = {})
        : crossingCost_(crossingCost)
    {}

    RoutingChoice choose(std::span<const Candidate> candidates, const CallRequirements &needs,
                         std::mt19937_64 &random) override;

private:
    CrossDataCentreCost crossingCost_;
};

} // namespace boragetrack::traffic::routing
