/** Implements FollowerRole. */
#include "control/distribution/FollowerRole.h"

#include "control/membership/WatcherElection.h"

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
    const bool isCovered = coveredAt_ && now - *coveredAt_ < coverLife;
    return !isCovered || isChosen();
}

bool FollowerRole::isChosen() const
{
    const auto chosen = followers();
    return std::find(chosen.begin(), chosen.end(), members_.self().id) != chosen.end();
}

std::optional<NodeId> FollowerRole::nextToAsk()
{
    const auto chosen = followers();
    if (isChosen() || chosen.empty())
        return std::nullopt;
    return chosen[++turn_ % chosen.size()];
}

std::vector<NodeId> FollowerRole::receiversOfNews(MonotonicTime now)
{
    std::vector<NodeId> receivers = followers();
    // A node asks each follower of its data centre in turn.
    const auto life = askPeriod * static_cast<int>(receivers.size() + 1);
    std::erase(receivers, members_.self().id);
    std::erase_if(askedBy_, [&](const auto &entry) { return now - entry.second > life; });
    for (const auto &[node, askedAt] : askedBy_) {
        if (std::find(receivers.begin(), receivers.end(), node) == receivers.end())
            receivers.push_back(node);
    }
    return receivers;
}

std::vector<NodeId> FollowerRole::followers() const
{
    const auto isOfOwnDataCentre = [this](const MemberRecord &record) {
        return record.dataCentre == members_.self().dataCentre;
    };
    const auto &records = members_.table().records();
    const auto count = static_cast<std::size_t>(
            std::count_if(records.begin(), records.end(),
                          [&](const auto &entry) { return isOfOwnDataCentre(entry.second); }));
    return membership::chosenMembers(members_.table(), followerTopic,
                                     std::max(leastFollowers, count / membersPerFollower),
                                     isOfOwnDataCentre);
}

} // namespace boragetrack::control::distribution
