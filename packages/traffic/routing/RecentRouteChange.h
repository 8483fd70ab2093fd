/** Calls whose route a change has just touched. */
#pragma once

#include "core/timing/MonotonicTime.h"
#include "traffic/routing/RoutingSnapshot.h"

#include <string>

namespace boragetrack::traffic::routing {

/** Returns whether calls to a path went to other services, or were not served, by an intent that
    was replaced within IntentHistory::memoryTime.
    @param host the host that the caller requested, without a port */
bool hasRouteChanged(const RoutingSnapshot &snapshot, const std::string &host,
                     const std::string &path, core::timing::MonotonicTime now);

/** Returns the same for a route by its name. */
bool hasRouteChanged(const RoutingSnapshot &snapshot, const core::identity::RouteName &route,
                     core::timing::MonotonicTime now);

} // namespace boragetrack::traffic::routing
