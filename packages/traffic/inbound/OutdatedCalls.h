/** The rule by which the inbound proxy refuses calls that were routed by an outdated intent. */
#pragma once

#include "core/timing/MonotonicTime.h"
#include "traffic/calls/CallRequest.h"
#include "traffic/routing/RoutingSnapshot.h"

namespace boragetrack::traffic::inbound {

/** Returns whether a call's sender lacks an intent that has been in force here for so long that
   every node should have it, and which does not send the calls of the route, as it is named, to the
    service. Calls that a route with a longer prefix covers since are not noticed.
    @param request at its arrival: one that has waited may run as its sender chose */
bool isOutdated(const calls::CallRequest &request, const routing::RoutingSnapshot &snapshot,
                core::timing::MonotonicTime now);

} // namespace boragetrack::traffic::inbound
