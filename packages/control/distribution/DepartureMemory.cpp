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

void DepartureMemory::recordRestart(const NodeId &node, std::uint64_t earlier, MonotonicTime now)
{
    const auto found = restarts_.try_emplace(node, Restart{earlier, now}).first;
    found->second.at = now;
}

std::uint64_t DepartureMemory::knownSince(const NodeId &node, std::uint64_t current) const
{
    const auto found = restarts_.find(node);
    return found == restarts_.end() ? current : std::min(current, found->second.earlier);
}

void DepartureMemory::removeExpired(MonotonicTime now)
{
    std::erase_if(restarts_, [&](const auto &entry) { return now - entry.second.at >= retention; });
    std::erase_if(departures_,
                  [&](const auto &entry) { return now - entry.second.publishedAt >= retention; });
}

void DepartureMemory::recordPeer(const NodeId &peer,
                                 const std::optional<AnnouncementStamp> &remembered,
                                 std::uint64_t knownSince)
{
    const bool knewEarlierProcess = knownSince != 0 && knownSince < generation_;
    if (knewEarlierProcess && heardPeers_.size() < sufficientPeers)
        heardPeers_.insert(peer);
    if (remembered)
        adopt(*remembered);
}

void DepartureMemory::recordStore(const std::vector<AnnouncementStamp> &kept)
{
    isStoreRead_ = true;
    for (const AnnouncementStamp &departure : kept)
        adopt(departure);
}

void DepartureMemory::adopt(const AnnouncementStamp &departure)
{
    if (!ownDeparture_ || !ownDeparture_->isLaterThan(departure))
        ownDeparture_ = departure;
}

bool DepartureMemory::isComplete(std::size_t otherMembers, MonotonicTime now) const
{
    if (isStoreRead_)
        return true;
    const std::size_t expected = std::max<std::size_t>(1, std::min(otherMembers, sufficientPeers));
    return now - startedAt_ >= storeWait && heardPeers_.size() >= expected;
}

} // namespace boragetrack::control::distribution
