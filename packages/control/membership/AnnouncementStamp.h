/** The data by which announcements of upstreams at one address are ordered. */
#pragma once

#include "core/timing/WallTime.h"

#include <cstdint>
#include <optional>
#include <string>

namespace boragetrack::control::membership {

/** Identifies the announcing process and the position among that process's announcements. */
struct AnnouncementStamp
{
    std::string instance;
    /** Increases with each announcement of one process. */
    std::uint64_t sequence = 0;
    /** The start time of the process, if announced; a restarted process may reuse its instance
        name. */
    std::optional<core::timing::WallTime> startedAt;

    /** Returns whether this announcement is certainly the later one: of a process that started
        later, or of the same start with a higher sequence number. */
    bool isLaterThan(const AnnouncementStamp &other) const
    {
        if (!startedAt || !other.startedAt)
            return false;
        if (*startedAt != *other.startedAt)
            return *startedAt > *other.startedAt;
        return instance == other.instance && sequence > other.sequence;
    }

    friend bool operator==(const AnnouncementStamp &, const AnnouncementStamp &) = default;
};

} // namespace boragetrack::control::membership
