/** The destination of a control message. */
#pragma once

#include "core/identity/NetworkAddress.h"
#include "core/identity/NodeId.h"

namespace boragetrack::control::distribution {

/** Identifies a peer. The id is empty for an address whose node is not known yet, such as a seed
    from the settings. */
struct PeerContact
{
    core::identity::NodeId id;
    core::identity::NetworkAddress address;
};

} // namespace boragetrack::control::distribution
