/** Implements UpstreamLineage. */
#include "control/membership/UpstreamLineage.h"

namespace boragetrack::control::membership {

bool UpstreamLineage::accept(const AnnouncementStamp &stamp, bool isLeaving)
{
    // A departure may come without the time of the start.
    const bool isSameStart = !present_ || !present_->startedAt || !stamp.startedAt
                             || *present_->startedAt == *stamp.startedAt;
    const bool isSameProcess = present_ && present_->instance == stamp.instance && isSameStart;
    if (isSameProcess) {
        // A departure carries no number of its own.
        const bool isLate = !isLeaving && stamp.sequence <= present_->sequence;
        if (isLate || (isLeaving_ && !isLeaving))
            return false;
        present_->sequence = std::max(present_->sequence, stamp.sequence);
        isLeaving_ = isLeaving;
        return true;
    }
    if (present_ && !isSuccessor(stamp))
        return false;
    if (present_)
        former_.insert(present_->instance);
    present_ = stamp;
    isLeaving_ = isLeaving;
    return true;
}

bool UpstreamLineage::isSuccessor(const AnnouncementStamp &stamp) const
{
    if (stamp.startedAt && present_->startedAt)
        return *stamp.startedAt > *present_->startedAt;
    return !former_.contains(stamp.instance);
}

} // namespace boragetrack::control::membership
