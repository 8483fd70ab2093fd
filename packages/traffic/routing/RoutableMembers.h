/** The members that a node may send calls or claims to. */
#pragma once

#include "core/identity/ServiceName.h"
#include "traffic/routing/Endpoint.h"
#include "traffic/routing/Registrar.h"

#include <map>
#include <vector>

namespace boragetrack::traffic::routing {

/** Holds what routing needs of the members. Successive snapshots share it while only the versions'
    shares change, which they do several times a second during a move. */
struct RoutableMembers
{
    // Invariant: only upstreams that may get new calls, of other data centres a subset.
    std::map<core::identity::ServiceName, std::vector<Endpoint>> endpoints;
    /** All members, as candidates for storing claims, including those whose upstream is draining or
        absent. */
    std::vector<Registrar> registrars;
};

} // namespace boragetrack::traffic::routing
