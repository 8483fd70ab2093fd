/** What orders the announcements of upstreams at one address. */
#pragma once

#include "core/timing/WallTime.h"

#include <cstdint>
#include <optional>
#include <string>

namespace boragetrack::control::membership {

/** Names the process that an announcement speaks of, and its place among that process's own. */
struct AnnouncementStamp
{
    std::string instance;
    /** Rises with each announcement of one process. */
    std::uint64_t sequence = 0;
    /** When the process was started, if it says so; a restarted one may keep its instance name. */
    std::optional<core::timing::WallTime> startedAt;
};

} // namespace boragetrack::control::membership
