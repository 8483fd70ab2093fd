/** Whom a control message goes to. */
#pragma once

#include "core/identity/NetworkAddress.h"
#include "core/identity/NodeId.h"

namespace boragetrack::control::distribution {

/** Names a peer; the id is empty for an address from the settings whose node is not known yet. */
struct PeerContact
{
    core::identity::NodeId id;
    core::identity::NetworkAddress address;
};

} // namespace boragetrack::control::distribution
