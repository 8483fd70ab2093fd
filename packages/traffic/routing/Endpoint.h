/** An upstream that calls can go to. */
#pragma once

#include "core/identity/DataCentreId.h"
#include "core/identity/NetworkAddress.h"
#include "core/identity/NodeId.h"
#include "core/identity/VersionName.h"

namespace boragetrack::traffic::routing {

/** Names an upstream by the node beside it. */
struct Endpoint
{
    core::identity::NodeId node;
    core::identity::NetworkAddress address;
    core::identity::DataCentreId dataCentre;
    core::identity::VersionName version;
    /** Requests at once that the upstream says it bears. */
    int slots = 1;
    /** Share of new work relative to the capacity, 0 to 1. */
    double weight = 1.0;
    /** Whether the node could not be reached lately; used only when nothing else is left. */
    bool isSuspect = false;
};

} // namespace boragetrack::traffic::routing
