/** Compares instance names and start times, and within one process the sequence numbers. */
#include "control/membership/AnnouncementFilter.h"

#include <algorithm>

namespace boragetrack::control::membership {

bool AnnouncementFilter::accept(const AnnouncementStamp &stamp, bool isLeaving)
{
    if (isSameProcess(stamp)) {
        // The announcement of a departure has no sequence number of its own.
        const bool isLate = !isLeaving && stamp.sequence <= current_->sequence;
        if (isLate || (departure_ && !isLeaving))
            return false;
        current_->sequence = std::max(current_->sequence, stamp.sequence);
    } else {
        if (current_ && !isSuccessor(stamp))
            return false;
        replaceCurrent(stamp);
    }
    if (isLeaving && !departure_)
        departure_ = current_;
    return true;
}

bool AnnouncementFilter::restoreDeparture(const AnnouncementStamp &departure)
{
    const bool isSame = isSameProcess(departure);
    if (isSame && departure_)
        return false;
    if (!isSame && current_ && !departure.isLaterThan(*current_)) {
        if (departure.instance != current_->instance)
            replacedInstances_.insert(departure.instance);
        return false;
    }
    if (!isSame)
        replaceCurrent(departure);
    departure_ = departure;
    return true;
}

void AnnouncementFilter::replaceCurrent(const AnnouncementStamp &stamp)
{
    if (current_)
        replacedInstances_.insert(current_->instance);
    current_ = stamp;
    departure_.reset();
}

// The announcement of a departure may lack the start time.
bool AnnouncementFilter::isSameProcess(const AnnouncementStamp &stamp) const
{
    if (!current_ || current_->instance != stamp.instance)
        return false;
    return !current_->startedAt || !stamp.startedAt || *current_->startedAt == *stamp.startedAt;
}

bool AnnouncementFilter::isSuccessor(const AnnouncementStamp &stamp) const
{
    if (stamp.startedAt && current_->startedAt)
        return *stamp.startedAt > *current_->startedAt;
    // All upstreams of a platform give their start time, or none does.
    if (current_->startedAt)
        return false;
    return !replacedInstances_.contains(stamp.instance);
}

} // namespace boragetrack::control::membership
