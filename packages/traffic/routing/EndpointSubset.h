/** Limits the endpoints in other data centres that a node calls. */
#pragma once

#include "traffic/routing/Endpoint.h"

#include <vector>

namespace boragetrack::traffic::routing {

/** The number of endpoints of a service in other data centres up to which a node calls all. */
inline constexpr std::size_t maximumRemoteEndpoints = 12;

/** The minimum number of endpoints that are kept for each version in each other data centre. */
inline constexpr std::size_t minimumEndpointsPerGroup = 2;

/**
    Returns the endpoints that a node calls: all in its own data centre, and a subset of each other
    data centre once the service has more than maximumRemoteEndpoints there.

    Each link to another data centre costs memory at both ends, so without a limit the memory of
    every node grows with the fleet. Each node keeps another subset, by rendezvous hash, so that
    all endpoints are called equally often and few links change with the members. Suspect endpoints
    are kept only where too few others exist.

    @param self the node that calls
    @param dataCentre the node's own data centre
*/
std::vector<Endpoint> selectEndpointSubset(std::vector<Endpoint> endpoints,
                                           const core::identity::NodeId &self,
                                           const core::identity::DataCentreId &dataCentre);

} // namespace boragetrack::traffic::routing
