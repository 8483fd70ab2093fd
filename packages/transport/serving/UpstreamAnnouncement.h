/** What an upstream says of itself at one time. */
#pragma once

#include "control/membership/AnnouncementStamp.h"
#include "transport/serving/UpstreamStatus.h"

namespace boragetrack::transport::serving {

/** Joins an upstream's status to what orders its announcements. */
struct UpstreamAnnouncement
{
    UpstreamStatus status;
    control::membership::AnnouncementStamp stamp;
    /** Whether the upstream is gone or about to go; the status then holds only the instance. */
    bool isDeparture = false;
};

} // namespace boragetrack::transport::serving
