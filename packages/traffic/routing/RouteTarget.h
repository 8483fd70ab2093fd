/** What a call of one route can go to. */
#pragma once

#include "control/intent/RouteEntry.h"
#include "control/moves/RouteShare.h"

namespace boragetrack::traffic::routing {

/** Joins a route to the shares of its versions. */
struct RouteTarget
{
    control::intent::RouteEntry entry;
    control::moves::RouteShare share;
};

} // namespace boragetrack::traffic::routing
