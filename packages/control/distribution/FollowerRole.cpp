/** Selects followers by rendezvous hashing within the data centre and keeps track of the nodes that
    poll this one. */
#include "control/distribution/FollowerRole.h"

#include "control/membership/MemberSelection.h"

#include <algorithm>

namespace boragetrack::control::distribution {

using core::identity::NodeId;
using core::timing::MonotonicTime;
using membership::MemberRecord;

namespace {

constexpr const char *followerTopic = "store-follower";

} // namespace

bool FollowerRole::mustFollow(MonotonicTime now) const
{
    const bool isCovered = lastCoverage_ && now - *lastCoverage_ < coverageLifetime;
    return !isCovered || isSelected();
}

bool FollowerRole::isSelected() const
{
    const auto selected = followers();
    return std::find(selected.begin(), selected.end(), members_.self().id) != selected.end();
}

std::optional<NodeId> FollowerRole::nextFollowerToPoll()
{
    const auto selected = followers();
    if (isSelected() || selected.empty())
        return std::nullopt;
    return selected[++nextFollower_ % selected.size()];
}

std::vector<NodeId> FollowerRole::updateReceivers(MonotonicTime now)
{
    std::vector<NodeId> receivers = followers();
    // A node polls each follower of its data centre in turn, so this is the time for one full
    // round and one further poll.
    const auto lifetime = pollPeriod * static_cast<int>(receivers.size() + 1);
    std::erase(receivers, members_.self().id);
    std::erase_if(polledAt_, [&](const auto &entry) { return now - entry.second > lifetime; });
    for (const auto &[node, polledAt] : polledAt_) {
        if (std::find(receivers.begin(), receivers.end(), node) == receivers.end())
            receivers.push_back(node);
    }
    return receivers;
}

std::vector<NodeId> FollowerRole::followers() const
{
    const auto isOfLocalDataCentre = [this](const MemberRecord &record) {
        return record.dataCentre == members_.self().dataCentre;
    };
    const auto &records = members_.table().records();
    const auto count = static_cast<std::size_t>(
            std::count_if(records.begin(), records.end(),
                          [&](const auto &entry) { return isOfLocalDataCentre(entry.second); }));
    return membership::selectMembers(members_.table(), followerTopic,
                                     std::max(minimumFollowers, count / membersPerFollower),
                                     isOfLocalDataCentre);
}

} // namespace boragetrack::control::distribution
