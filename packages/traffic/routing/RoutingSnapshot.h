/** The immutable state that routing reads. */
#pragma once

#include "control/intent/IntentSnapshot.h"
#include "core/identity/DataCentreId.h"
#include "traffic/access/OpenAccess.h"
#include "traffic/routing/IntentHistory.h"
#include "traffic/routing/IntentOrigin.h"
#include "traffic/routing/RoutableMembers.h"
#include "traffic/routing/RouteTarget.h"

#include <chrono>
#include <memory>
#include <optional>
#include <vector>

namespace boragetrack::traffic::routing {

/** Holds one consistent view of intent, version shares and upstreams. The control thread publishes
    a new snapshot for each change; traffic threads only read it. */
struct RoutingSnapshot
{
    std::shared_ptr<const control::intent::IntentSnapshot> intent;
    /** Where the intent came from. Never null. */
    std::shared_ptr<const IntentOrigin> origin = std::make_shared<IntentOrigin>();
    /** The intents until a moment ago. Never null. */
    std::shared_ptr<const IntentHistory> history = std::make_shared<IntentHistory>();
    core::identity::NodeId self;
    core::identity::DataCentreId dataCentre;
    /** Whether the node can route calls; false before the first intent. */
    bool isServing = false;
    /** Whether a move is evaluated, so that call outcomes are collected as evidence. */
    bool needsEvidence = false;
    /** Decides by the intent's organisations which requests of callers are served. Never null. */
    std::shared_ptr<const access::AccessPolicy> access = std::make_shared<access::OpenAccess>();
    // Invariant: one element for each route of intent, in the same order.
    std::vector<RouteTarget> targets;
    // Invariant: never null.
    std::shared_ptr<const RoutableMembers> members = std::make_shared<RoutableMembers>();

    /** Returns for how long the intent has been in force on this node; nothing before the first. */
    std::optional<std::chrono::milliseconds> intentAge(core::timing::MonotonicTime now) const;

    /** Returns the target of calls to a path, or null when no route matches.
        @param host the host that the caller requested, without a port */
    const RouteTarget *targetFor(const std::string &host, const std::string &path) const;

    /** Returns the target of the route with a name, or null. */
    const RouteTarget *targetNamed(const core::identity::RouteName &name) const;

    /** Returns the target of a route of intent, or null for null. */
    const RouteTarget *targetOf(const control::intent::ResolvedRoute *entry) const;

    /** Returns the endpoints of a service; empty for an unknown service. */
    const std::vector<Endpoint> &endpointsOf(const core::identity::ServiceName &service) const;
};

} // namespace boragetrack::traffic::routing
