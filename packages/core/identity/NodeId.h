/** Identifier of a node. */
#pragma once

#include "core/identity/StrongString.h"

namespace boragetrack::core::identity {

/** Identifies a node; stays the same when the node restarts on the same VM. */
using NodeId = StrongString<struct NodeIdTag>;

} // namespace boragetrack::core::identity
