/** The default routing policy, which compares endpoints by the expected value of their response. */
#pragma once

#include "traffic/routing/CrossDataCentreCost.h"
#include "traffic/routing/RoutingPolicy.h"

namespace boragetrack::traffic::routing {

/**
    Prefers the endpoint whose response is most likely to arrive within its objective. A response
    after the objective counts for less, and one after the deadline for nothing. Calls stay in the
    local data centre unless another one is better by more than the cost of cross-data-centre
    traffic.

    Meant for loads near and above capacity and for upstreams of different speeds. The probability
    follows from the queueing delay that the endpoint reported for the call's rank, corrected for
    this node's calls since then and for the report's age, and from the route's average service time
    there. Failures at the endpoint reduce it.

    A call is refused for the service time only where recent calls of the same route show it, since
    a call that isn't sent corrects no estimate.

    Only a few endpoints are drawn at random for each call. All nodes decide by reports of about the
    same age and would otherwise overload the endpoint that was least loaded. A call that no
    endpoint can respond to within its deadline is refused immediately.
*/
class OnTimeRouting : public RoutingPolicy
{
public:
    explicit OnTimeRouting(const CrossDataCentreCost &crossDataCentreCost = {})
        : crossDataCentreCost_(crossDataCentreCost)
    {}

    RoutingChoice choose(std::span<const Candidate> candidates,
                         const CallRequirements &requirements, std::mt19937_64 &random) override;

private:
    CrossDataCentreCost crossDataCentreCost_;
};

} // namespace boragetrack::traffic::routing
