/** How a route's calls divide between versions. */
#pragma once

#include "core/identity/VersionName.h"

namespace boragetrack::control::moves {

/** Names the versions that may serve a route now. */
struct RouteShare
{
    /** The version that gets all calls but the other's share. */
    core::identity::VersionName primary;
    /** The other version that may serve; empty when there is none. */
    core::identity::VersionName secondary;
    /** The secondary version's share in percent. */
    double secondaryPercent = 0.0;
};

} // namespace boragetrack::control::moves
