/** The name of a service. */
#pragma once

#include "core/identity/StrongString.h"

namespace boragetrack::core::identity {

/** Names one service that upstreams offer. */
using ServiceName = StrongString<struct ServiceNameTag>;

} // namespace boragetrack::core::identity
