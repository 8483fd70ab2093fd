/** Draws each round from the nodes that are due, so that processes that start together contact
    different ones first. */
#include "control/distribution/PeerIntroducer.h"

#include <algorithm>

namespace boragetrack::control::distribution {

using core::identity::NetworkAddress;
using core::timing::MonotonicTime;

void PeerIntroducer::nodeFound(const NetworkAddress &address, MonotonicTime now,
                               std::chrono::milliseconds delay)
{
    const bool isStarting = now - startedAt_ < startPeriod;
    if (address.port == 0 || !isStarting || remainingContacts_ == 0)
        return;
    introductions_.try_emplace(address,
                               Introduction{now + delay, foundRetryPeriod, foundAttempts, false});
}

void PeerIntroducer::nodeLost(const NetworkAddress &address, std::size_t memberCount,
                              MonotonicTime now)
{
    std::uniform_int_distribution<std::size_t> draw(1, std::max<std::size_t>(1, memberCount));
    if (draw(random_) <= contactsOfLostNode)
        introductions_.insert_or_assign(
                address, Introduction{now + lostRetryPeriod, lostRetryPeriod, lostAttempts, true});
}

void PeerIntroducer::recordContact(const NetworkAddress &address)
{
    introductions_.erase(address);
}

std::vector<NetworkAddress> PeerIntroducer::takeRound(MonotonicTime now)
{
    std::vector<NetworkAddress> due;
    for (const auto &[address, introduction] : introductions_) {
        if (introduction.dueAt <= now)
            due.push_back(address);
    }
    std::shuffle(due.begin(), due.end(), random_);
    due.resize(std::min(due.size(), contactsPerRound));
    // The last contact of the process ends the introductions of other found nodes.
    std::erase_if(due, [&](const NetworkAddress &address) { return !recordAttempt(address, now); });
    return due;
}

bool PeerIntroducer::recordAttempt(const NetworkAddress &address, MonotonicTime now)
{
    const auto found = introductions_.find(address);
    if (found == introductions_.end())
        return false;
    Introduction &introduction = found->second;
    introduction.dueAt = now + introduction.retryPeriod;
    if (!introduction.isLost && --remainingContacts_ == 0)
        std::erase_if(introductions_, [](const auto &entry) { return !entry.second.isLost; });
    else if (--introduction.remainingAttempts == 0)
        introductions_.erase(found);
    return true;
}

} // namespace boragetrack::control::distribution
