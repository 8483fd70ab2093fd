/** What the node beside an upstream lets through. */
#pragma once

#include "control/membership/UpstreamRecord.h"
#include "traffic/admission/AdmissionLimits.h"
#include "traffic/calls/CallRequest.h"
#include "traffic/routing/RoutingSnapshot.h"

#include <optional>
#include <string>

namespace boragetrack::traffic::inbound {

/** Returns why a call may not go to the upstream now, if so. Senders may hold an older view than
   the node beside the upstream, so that what must hold exactly is checked here: upstreams that
   leave, data centres that are out and versions that take no calls.
    @param upstream nothing when none runs beside this node */
std::optional<std::string>
refusalReason(const calls::CallRequest &request,
              const std::optional<control::membership::UpstreamRecord> &upstream,
              const routing::RoutingSnapshot &snapshot);

/** Returns the bounds of admission that the intent and the upstream's own word set.
    @param connections the connections that can be open to the upstream */
admission::AdmissionLimits limitsFor(const control::membership::UpstreamRecord &upstream,
                                     const routing::RoutingSnapshot &snapshot, int connections);

} // namespace boragetrack::traffic::inbound
