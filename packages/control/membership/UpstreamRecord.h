/** The announced properties of an upstream. */
#pragma once

#include "control/membership/AnnouncementStamp.h"
#include "control/membership/UpstreamState.h"
#include "core/identity/ServiceName.h"
#include "core/identity/VersionName.h"

namespace boragetrack::control::membership {

/** Describes the upstream of a node. */
struct UpstreamRecord
{
    core::identity::ServiceName service;
    core::identity::VersionName version;
    UpstreamState state = UpstreamState::None;
    /** The number of concurrent requests that the upstream announced it can process. */
    int slots = 0;
    /** The announcement by which the node's last upstream left, unless another one followed it. */
    std::optional<AnnouncementStamp> departure = std::nullopt;

    friend bool operator==(const UpstreamRecord &, const UpstreamRecord &) = default;
};

} // namespace boragetrack::control::membership
