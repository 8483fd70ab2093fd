/** Protection against late or reordered announcements of upstreams. */
#pragma once

#include "control/membership/AnnouncementStamp.h"

#include <set>

namespace boragetrack::control::membership {

/**
    Accepts announcements of the current upstream process and rejects late ones of replaced
    processes.

    A process is first unknown, then serving, then leaving. A leaving process never serves again,
    and a replaced process never becomes current again.
*/
class AnnouncementFilter
{
public:
    /** Processes an announcement.
        @param isLeaving whether it announces a departure
        @returns whether it is new information about the current upstream */
    bool accept(const AnnouncementStamp &stamp, bool isLeaving);

    /** Returns whether the current upstream has announced its departure. */
    bool isLeaving() const { return isLeaving_; }

private:
    bool isSuccessor(const AnnouncementStamp &stamp) const;

    std::optional<AnnouncementStamp> current_;
    bool isLeaving_ = false;
    // The instance names of replaced upstream processes.
    std::set<std::string> replacedInstances_;
};

} // namespace boragetrack::control::membership
