/** A destination of calls. */
#pragma once

#include "core/identity/DataCentreId.h"
#include "core/identity/NetworkAddress.h"
#include "core/identity/NodeId.h"
#include "core/identity/VersionName.h"

namespace boragetrack::traffic::routing {

/** Identifies an upstream by its node, which forwards the calls to it. */
struct Endpoint
{
    core::identity::NodeId node;
    core::identity::NetworkAddress address;
    core::identity::DataCentreId dataCentre;
    core::identity::VersionName version;
    /** The concurrency that the upstream announced, in requests. */
    int slots = 1;
    /** The endpoint's share of new calls relative to its capacity, 0 to 1. */
    double weight = 1.0;
    /** Whether the membership suspects the node; used only when no other endpoint is left. */
    bool isSuspect = false;
};

} // namespace boragetrack::traffic::routing
