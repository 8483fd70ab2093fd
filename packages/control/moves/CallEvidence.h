/** Input of the evaluation of moves: the outcome of a single call. */
#pragma once

#include "core/identity/RouteName.h"
#include "core/identity/ServiceName.h"
#include "core/identity/VersionName.h"

#include <chrono>

namespace boragetrack::control::moves {

/** Describes how one call to the node's upstream ended. */
struct CallEvidence
{
    core::identity::ServiceName service;
    core::identity::VersionName version;
    core::identity::RouteName route;
    /** Whether the call ran and failed. */
    bool isFailed = false;
    /** Whether the connection broke or the deadline passed while the call ran. */
    bool isBroken = false;
    /** Whether the upstream was still cold, so that its latency says nothing about its version. */
    bool isCold = false;
    /** From sending the call to the end of its response. */
    std::chrono::nanoseconds latency{0};
};

} // namespace boragetrack::control::moves
