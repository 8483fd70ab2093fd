/** What an upstream announced of itself. */
#pragma once

#include "control/membership/UpstreamState.h"
#include "core/identity/ServiceName.h"
#include "core/identity/VersionName.h"

namespace boragetrack::control::membership {

/** Describes the upstream beside a node. */
struct UpstreamRecord
{
    core::identity::ServiceName service;
    core::identity::VersionName version;
    UpstreamState state = UpstreamState::None;
    /** Requests at once that the upstream says it bears. */
    int slots = 0;

    friend bool operator==(const UpstreamRecord &, const UpstreamRecord &) = default;
};

} // namespace boragetrack::control::membership
