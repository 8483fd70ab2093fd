/** A node that can store claims on idempotency keys. */
#pragma once

#include "core/identity/DataCentreId.h"
#include "core/identity/NetworkAddress.h"
#include "core/identity/NodeId.h"

namespace boragetrack::traffic::routing {

/** Identifies a node and its process as a candidate for storing claims. */
struct Registrar
{
    core::identity::NodeId node;
    /** The id of the node's present process; a restarted process has another id and no claims. */
    core::identity::NodeId process;
    core::identity::NetworkAddress address;
    core::identity::DataCentreId dataCentre;
};

} // namespace boragetrack::traffic::routing
