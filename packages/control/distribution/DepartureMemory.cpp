/** Of two departures at one node the later one is kept; where their order is unknown, the one that
    was published last. */
#include "control/distribution/DepartureMemory.h"

#include <algorithm>

namespace boragetrack::control::distribution {

using core::identity::NodeId;
using core::timing::MonotonicTime;
using membership::AnnouncementStamp;

void DepartureMemory::rememberFrom(const std::vector<membership::MemberRecord> &records,
                                   MonotonicTime now)
{
    for (const membership::MemberRecord &record : records) {
        const auto &departure = record.upstream.departure;
        if (!departure || record.id == self_)
            continue;
        const auto found = departures_.find(record.id);
        if (found == departures_.end() || !found->second.departure.isLaterThan(*departure))
            departures_.insert_or_assign(record.id, Entry{*departure, now});
    }
}

std::optional<AnnouncementStamp> DepartureMemory::departureAt(const NodeId &node) const
{
    const auto found = departures_.find(node);
    if (found == departures_.end())
        return std::nullopt;
    return found->second.departure;
}

void DepartureMemory::removeExpired(MonotonicTime now)
{
    std::erase_if(departures_,
                  [&](const auto &entry) { return now - entry.second.publishedAt >= retention; });
}

void DepartureMemory::recordPeer(const NodeId &peer,
                                 const std::optional<AnnouncementStamp> &remembered)
{
    if (heardPeers_.size() < sufficientPeers)
        heardPeers_.insert(peer);
    if (remembered && (!ownDeparture_ || !ownDeparture_->isLaterThan(*remembered)))
        ownDeparture_ = remembered;
}

bool DepartureMemory::isComplete(std::size_t otherMembers, MonotonicTime now) const
{
    const std::size_t expected = std::max<std::size_t>(1, std::min(otherMembers, sufficientPeers));
    return heardPeers_.size() >= expected || now - startedAt_ >= maximumWait;
}

} // namespace boragetrack::control::distribution
