/** Implements AnnouncementFilter. */
#include "control/membership/AnnouncementFilter.h"

namespace boragetrack::control::membership {

bool AnnouncementFilter::accept(const AnnouncementStamp &stamp, bool isLeaving)
{
    // A departure may come without the time of the start.
    const bool isSameStart = !current_ || !current_->startedAt || !stamp.startedAt
                             || *current_->startedAt == *stamp.startedAt;
    const bool isSameProcess = current_ && current_->instance == stamp.instance && isSameStart;
    if (isSameProcess) {
        // A departure carries no number of its own.
        const bool isLate = !isLeaving && stamp.sequence <= current_->sequence;
        if (isLate || (isLeaving_ && !isLeaving))
            return false;
        current_->sequence = std::max(current_->sequence, stamp.sequence);
        isLeaving_ = isLeaving;
        return true;
    }
    if (current_ && !isSuccessor(stamp))
        return false;
    if (current_)
        replacedInstances_.insert(current_->instance);
    current_ = stamp;
    isLeaving_ = isLeaving;
    return true;
}

bool AnnouncementFilter::isSuccessor(const AnnouncementStamp &stamp) const
{
    if (stamp.startedAt && current_->startedAt)
        return *stamp.startedAt > *current_->startedAt;
    return !replacedInstances_.contains(stamp.instance);
}

} // namespace boragetrack::control::membership
