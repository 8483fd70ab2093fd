/** The name of a route. */
#pragma once

#include "core/identity/StrongString.h"

namespace boragetrack::core::identity {

/** Names one route of the intent. */
using RouteName = StrongString<struct RouteNameTag>;

} // namespace boragetrack::core::identity
