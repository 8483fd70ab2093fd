/** The rules by which the inbound proxy accepts calls for the co-located upstream. */
#pragma once

#include "control/membership/UpstreamRecord.h"
#include "traffic/admission/AdmissionLimits.h"
#include "traffic/calls/CallRequest.h"
#include "traffic/routing/RoutingSnapshot.h"

#include <optional>
#include <string>

namespace boragetrack::traffic::inbound {

/** Returns why a call must not be sent to the upstream, or nothing when it may be. The sender may
    have routed the call by an older snapshot, so that the node of the upstream enforces the rules
    again: no calls to draining upstreams, in data centres that are out, or to versions that must
    not serve the route.
    @param upstream the co-located upstream; nothing when none is announced */
std::optional<std::string>
refusalReason(const calls::CallRequest &request,
              const std::optional<control::membership::UpstreamRecord> &upstream,
              const routing::RoutingSnapshot &snapshot);

/** Returns the admission limits for the upstream, from its announced slots and from the settings of
    all routes that its service serves.
    @param connections the maximum number of connections to the upstream */
admission::AdmissionLimits limitsFor(const control::membership::UpstreamRecord &upstream,
                                     const routing::RoutingSnapshot &snapshot, int connections);

} // namespace boragetrack::traffic::inbound
