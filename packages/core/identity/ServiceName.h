/** Identifier of a service. */
#pragma once

#include "core/identity/StrongString.h"

namespace boragetrack::core::identity {

/** Identifies a service that upstreams offer. */
using ServiceName = StrongString<struct ServiceNameTag>;

} // namespace boragetrack::core::identity
