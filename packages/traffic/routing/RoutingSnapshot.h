/** Everything that routing reads, published whole. */
#pragma once

#include "control/intent/IntentSnapshot.h"
#include "core/identity/DataCentreId.h"
#include "traffic/routing/Endpoint.h"
#include "traffic/routing/Registrar.h"
#include "traffic/routing/RouteTarget.h"

#include <map>
#include <memory>
#include <vector>

namespace boragetrack::traffic::routing {

/** Holds one consistent view of intent, shares and upstreams; traffic threads only read it. */
struct RoutingSnapshot
{
    std::shared_ptr<const control::intent::IntentSnapshot> intent;
    core::identity::NodeId self;
    core::identity::DataCentreId dataCentre;
    /** Whether this node knows where calls go; false before the first intent. */
    bool isServing = false;
    /** Whether a move is followed, so that outcomes of calls count as evidence. */
    bool needsEvidence = false;
    // Invariant: one element for each route of intent, in the same order.
    std::vector<RouteTarget> targets;
    // Invariant: only upstreams that may get new work.
    std::map<core::identity::ServiceName, std::vector<Endpoint>> endpoints;
    /** All members, for keeping claims; a draining upstream's node still keeps claims. */
    std::vector<Registrar> registrars;

    /** Returns what the calls of a path can go to, or null without a route.
        @param host the host that the caller named, without a port */
    const RouteTarget *targetFor(const std::string &host, const std::string &path) const;

    /** Returns a route's target by name, or null. */
    const RouteTarget *targetNamed(const core::identity::RouteName &name) const;

    /** Returns the target of a route of the intent; null for null. */
    const RouteTarget *targetOf(const control::intent::ResolvedRoute *entry) const;

    /** Returns the endpoints of a service; empty for an unknown one. */
    const std::vector<Endpoint> &endpointsOf(const core::identity::ServiceName &service) const;
};

} // namespace boragetrack::traffic::routing
