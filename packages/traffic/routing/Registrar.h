/** A node that may keep claims on idempotency keys. */
#pragma once

#include "core/identity/DataCentreId.h"
#include "core/identity/NetworkAddress.h"
#include "core/identity/NodeId.h"

namespace boragetrack::traffic::routing {

/** Names a candidate for keeping claims. */
struct Registrar
{
    core::identity::NodeId node;
    /** Names the node's present process: a restarted one has another and none of its memory. */
    core::identity::NodeId process;
    core::identity::NetworkAddress address;
    core::identity::DataCentreId dataCentre;
};

} // namespace boragetrack::traffic::routing
