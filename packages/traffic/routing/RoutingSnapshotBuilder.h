/** Builds routing snapshots from control state. */
#pragma once

#include "control/membership/MemberTable.h"
#include "traffic/routing/DataCentreRampUp.h"
#include "traffic/routing/RoutingSnapshot.h"

#include <functional>

namespace boragetrack::traffic::routing {

/** Returns how a route's calls to a service divide between versions now. */
using ShareQuery = std::function<control::moves::RouteShare(const control::intent::Route &,
                                                            const core::identity::ServiceName &)>;

/** Returns one consistent view for traffic threads. */
std::shared_ptr<const RoutingSnapshot>
buildRoutingSnapshot(const std::shared_ptr<const control::intent::IntentSnapshot> &intent,
                     const control::membership::MemberTable &members,
                     const control::membership::MemberRecord &self, const ShareQuery &shareOf,
                     const DataCentreRampUp &ramp, bool needsEvidence,
                     core::timing::MonotonicTime now);

} // namespace boragetrack::traffic::routing
