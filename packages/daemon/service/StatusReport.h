/** JSON reports of a node's state for operators. */
#pragma once

#include "control/distribution/ControlPlane.h"
#include "traffic/routing/RoutingSnapshot.h"

#include <nlohmann/json.hpp>

namespace boragetrack::daemon::service {

/** Returns the state of this node: its upstream, its roles, the revision in force and the revision
    that was refused, if any. */
nlohmann::json reportStatus(const control::distribution::ControlPlane &plane,
                            const traffic::routing::RoutingSnapshot &routing);

/** Returns all members with their state and upstream. */
nlohmann::json reportMembers(const control::distribution::ControlPlane &plane);

/** Returns all moves with the current share of the new version on each route, in percent. */
nlohmann::json reportMoves(const control::distribution::ControlPlane &plane);

} // namespace boragetrack::daemon::service
