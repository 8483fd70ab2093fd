/** What a call of one route can go to. */
#pragma once

#include "control/intent/ResolvedRoute.h"
#include "control/moves/RouteShare.h"

#include <vector>

namespace boragetrack::traffic::routing {

/** Joins a route to the shares of its versions; the route belongs to the snapshot's intent. */
struct RouteTarget
{
    const control::intent::ResolvedRoute &entry;
    /** The shares of the route's service, when it does not divide its calls. */
    control::moves::RouteShare share;
    // Invariant: one element for each part of the route's split, in the same order.
    std::vector<control::moves::RouteShare> splitShares{};

    /** Returns the shares of a service's versions on this route. */
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
