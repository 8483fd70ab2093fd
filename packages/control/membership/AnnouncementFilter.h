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

    /** Adopts a departure that an earlier process of this node acknowledged.
        @returns whether the current upstream thereby became a leaving one */
    bool restoreDeparture(const AnnouncementStamp &departure);

    /** Returns the first announcement of the current upstream's departure, if it has announced it.
     */
    const std::optional<AnnouncementStamp> &departure() const { return departure_; }

    /** Returns whether the current upstream has announced its departure. */
    bool isLeaving() const { return departure_.has_value(); }

private:
    bool isSameProcess(const AnnouncementStamp &stamp) const;
    bool isSuccessor(const AnnouncementStamp &stamp) const;
    void replaceCurrent(const AnnouncementStamp &stamp);

    std::optional<AnnouncementStamp> current_;
    // Invariant: absent unless current_ is set, and of the same process.
    std::optional<AnnouncementStamp> departure_;
    // The instance names of replaced upstream processes.
    std::set<std::string> replacedInstances_;
};

} // namespace boragetrack::control::membership
