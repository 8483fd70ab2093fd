/** An upstream's announcement of its state or its departure. */
#pragma once

#include "control/membership/AnnouncementStamp.h"
#include "transport/serving/UpstreamStatus.h"

namespace boragetrack::transport::serving {

/** Joins an upstream's status with the stamp that orders its announcements. */
struct UpstreamAnnouncement
{
    UpstreamStatus status;
    control::membership::AnnouncementStamp stamp;
    /** Whether the upstream has ended or is about to; the status then holds only the instance. */
    bool isDeparture = false;
};

} // namespace boragetrack::transport::serving
