/** The services and versions that the calls of one route can go to. */
#pragma once

#include "control/intent/ResolvedRoute.h"
#include "control/moves/RouteShare.h"

#include <vector>

namespace boragetrack::traffic::routing {

/** Combines a route with the version shares of its services; the route belongs to the snapshot's
    intent. */
struct RouteTarget
{
    const control::intent::ResolvedRoute &entry;
    /** The version shares of the route's service, for routes without a split. */
    control::moves::RouteShare share;
    // Invariant: one element for each part of the route's split, in the same order.
    std::vector<control::moves::RouteShare> splitShares{};

    /** Returns the version shares of a service on this route. */
    const control::moves::RouteShare &shareOf(const core::identity::ServiceName &service) const
    {
        const auto &split = entry.route.split;
        for (std::size_t i = 0; i < split.size(); ++i) {
            if (split[i].service == service)
                return splitShares[i];
        }
        return share;
    }
};

} // namespace boragetrack::traffic::routing
