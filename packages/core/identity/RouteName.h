/** Identifier of a route. */
#pragma once

#include "core/identity/StrongString.h"

namespace boragetrack::core::identity {

/** Identifies a route of the intent. */
using RouteName = StrongString<struct RouteNameTag>;

} // namespace boragetrack::core::identity
