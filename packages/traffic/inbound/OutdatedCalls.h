/** The rule by which the inbound proxy refuses calls that were routed by an outdated intent. */
#pragma once

#include "core/timing/MonotonicTime.h"
#include "traffic/calls/CallRequest.h"
#include "traffic/routing/RoutingSnapshot.h"

namespace boragetrack::traffic::inbound {

/** Returns whether a call's sender chose the service by an intent that has been replaced for so
   long that every node should have the later one, which does not send the route's calls there.
   Whatever keeps the sender from learning of changes, its calls then don't run by the old intent.
 */
bool isOutdated(const calls::CallRequest &request, const routing::RoutingSnapshot &snapshot,
                core::timing::MonotonicTime now);

} // namespace boragetrack::traffic::inbound
