/** Reports of a node's state for operators. */
#pragma once

#include "control/distribution/ControlPlane.h"
#include "traffic/routing/RoutingSnapshot.h"

#include <nlohmann/json.hpp>

namespace boragetrack::daemon::service {

/** Returns the revision in force, what was refused and what this node does. */
nlohmann::json reportStatus(const control::distribution::ControlPlane &plane,
                            const traffic::routing::RoutingSnapshot &routing);

/** Returns all members with their state and upstream. */
nlohmann::json reportMembers(const control::distribution::ControlPlane &plane);

/** Returns all moves with the present share of each route. */
nlohmann::json reportMoves(const control::distribution::ControlPlane &plane);

} // namespace boragetrack::daemon::service
