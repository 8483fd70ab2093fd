/** The outcome of one call as evidence. */
#pragma once

#include "core/identity/RouteName.h"
#include "core/identity/ServiceName.h"
#include "core/identity/VersionName.h"

#include <chrono>

namespace boragetrack::control::moves {

/** Tells how one call to the upstream beside this node went. */
struct CallEvidence
{
    core::identity::ServiceName service;
    core::identity::VersionName version;
    core::identity::RouteName route;
    bool isFailed = false;
    bool isBroken = false;
    /** Whether the upstream had just started, so that slowness says nothing of its version. */
    bool isCold = false;
    std::chrono::nanoseconds latency{0};
};

} // namespace boragetrack::control::moves
