/** Orders what upstreams say of themselves. */
#pragma once

#include "control/membership/AnnouncementStamp.h"

#include <set>

namespace boragetrack::control::membership {

/**
    Tells announcements of the present upstream from late ones of a former upstream.

    States of one process: unknown, serving, leaving. A process that leaves never serves again, and
    a former process never returns.
*/
class AnnouncementFilter
{
public:
    /** Takes an announcement. @param isLeaving whether it says that the upstream leaves
        @returns whether it is news of the present upstream */
    bool accept(const AnnouncementStamp &stamp, bool isLeaving);

    /** Returns whether the present upstream leaves. */
    bool isLeaving() const { return isLeaving_; }

private:
    bool isSuccessor(const AnnouncementStamp &stamp) const;

    std::optional<AnnouncementStamp> current_;
    bool isLeaving_ = false;
    // Instance names of upstreams that were displaced.
    std::set<std::string> replacedInstances_;
};

} // namespace boragetrack::control::membership
