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

// A node that was not following yet responds without coverage to its first poll, and needs one call
// to the store before it can cover others.
constexpr int toleratedUncoveredResponses = 1;

std::size_t followerCount(std::size_t members)
{
    if (members <= FollowerRole::smallDataCentre)
        return 1;
    return std::max(FollowerRole::minimumFollowers, (members + FollowerRole::membersPerFollower - 1)
                                                            / FollowerRole::membersPerFollower);
}

} // namespace

bool FollowerRole::mustFollow(MonotonicTime now) const
{
    const bool isCovered = lastCoverage_ && now - *lastCoverage_ < coverageLifetime;
    return !isCovered || isSelected() || isSubstitute(now);
}

bool FollowerRole::isSelected() const
{
    const Candidates &known = candidates();
    const auto end = known.nodes.begin() + static_cast<std::ptrdiff_t>(known.selected);
    return std::find(known.nodes.begin(), end, members_.self().id) != end;
}

std::vector<NodeId> FollowerRole::selectedFollowers() const
{
    const Candidates &known = candidates();
    std::vector<NodeId> followers(
            known.nodes.begin(), known.nodes.begin() + static_cast<std::ptrdiff_t>(known.selected));
    followers.insert(followers.end(), known.remoteFollowers.begin(), known.remoteFollowers.end());
    return followers;
}

bool FollowerRole::mustProbe(MonotonicTime now) const
{
    return prober() == members_.self().id
           || (proberUnavailableUntil_ && now < *proberUnavailableUntil_);
}

std::chrono::milliseconds FollowerRole::maximumProofAge(MonotonicTime now) const
{
    return mustProbe(now) ? proofPeriod : proofPeriod + sharedProofDelay;
}

std::optional<NodeId> FollowerRole::prober() const
{
    const std::vector<NodeId> followers = selectedFollowers();
    const auto first = std::min_element(followers.begin(), followers.end());
    return first == followers.end() ? std::nullopt : std::optional<NodeId>(*first);
}

bool FollowerRole::isSubstitute(MonotonicTime now) const
{
    const Candidates &known = candidates();
    const bool isCandidate = std::find(known.nodes.begin(), known.nodes.end(), members_.self().id)
                             != known.nodes.end();
    return isCandidate && std::any_of(polledAt_.begin(), polledAt_.end(), [&](const auto &entry) {
               return now - entry.second <= pollRound();
           });
}

// The time in which a node polls each follower of its data centre in turn, and one further poll.
std::chrono::milliseconds FollowerRole::pollRound() const
{
    return pollPeriod * static_cast<int>(candidates().selected + 1);
}

bool FollowerRole::isUnavailable(const NodeId &node, MonotonicTime now) const
{
    const auto found = unavailableUntil_.find(node);
    return found != unavailableUntil_.end() && now < found->second;
}

std::optional<NodeId> FollowerRole::nextFollowerToPoll(MonotonicTime now)
{
    const Candidates &known = candidates();
    if (isSelected() || known.nodes.empty())
        return std::nullopt;
    std::vector<NodeId> available;
    for (const NodeId &node : known.nodes) {
        if (available.size() < known.selected && node != members_.self().id
            && !isUnavailable(node, now))
            available.push_back(node);
    }
    // When none is available, the selected ones are still polled, so that their return shows.
    if (available.empty())
        available.push_back(known.nodes[nextFollower_ % known.selected]);
    lastPolled_ = available[++nextFollower_ % available.size()];
    return lastPolled_;
}

void FollowerRole::recordResponse(const NodeId &node, bool covers, MonotonicTime now)
{
    if (proberUnavailableUntil_ && node == prober())
        proberUnavailableUntil_.reset();
    if (covers) {
        cover(node, now);
        return;
    }
    if (node == lastPolled_ && ++uncoveredResponses_[node] > toleratedUncoveredResponses) {
        uncoveredResponses_.erase(node);
        unavailableUntil_[node] = now + unavailableTime;
    }
}

void FollowerRole::recordResponseAhead(const NodeId &node, core::identity::Revision revision,
                                       MonotonicTime now)
{
    std::erase_if(awaited_, [&](const AwaitedCoverage &awaited) {
        return now - awaited.respondedAt >= coverageLifetime;
    });
    awaited_.push_back(AwaitedCoverage{node, revision, now});
}

void FollowerRole::recordRevision(core::identity::Revision held)
{
    for (const AwaitedCoverage &awaited : awaited_) {
        if (awaited.revision <= held)
            cover(awaited.follower, awaited.respondedAt);
    }
    std::erase_if(awaited_,
                  [&](const AwaitedCoverage &awaited) { return awaited.revision <= held; });
}

void FollowerRole::cover(const NodeId &follower, MonotonicTime respondedAt)
{
    unavailableUntil_.erase(follower);
    uncoveredResponses_.erase(follower);
    if (lastCoverage_ && respondedAt < *lastCoverage_)
        return;
    lastCoverage_ = respondedAt;
    coveredBy_ = follower;
}

void FollowerRole::recordFailure(const NodeId &node, MonotonicTime now)
{
    if (node == lastPolled_)
        unavailableUntil_[node] = now + unavailableTime;
    if (node == prober())
        proberUnavailableUntil_ = now + unavailableTime;
    std::erase_if(awaited_,
                  [&](const AwaitedCoverage &awaited) { return awaited.follower == node; });
    // Changes since the last response of this follower may already be missing here.
    if (node == coveredBy_)
        lastCoverage_.reset();
}

std::vector<NodeId> FollowerRole::updateReceivers(MonotonicTime now)
{
    std::vector<NodeId> receivers = selectedFollowers();
    std::erase(receivers, members_.self().id);
    for (const NodeId &node : recentPollers(now)) {
        if (std::find(receivers.begin(), receivers.end(), node) == receivers.end())
            receivers.push_back(node);
    }
    return receivers;
}

std::vector<NodeId> FollowerRole::recentPollers(MonotonicTime now)
{
    std::erase_if(polledAt_, [&](const auto &entry) { return now - entry.second > pollRound(); });
    std::vector<NodeId> pollers;
    for (const auto &[node, polledAt] : polledAt_)
        pollers.push_back(node);
    return pollers;
}

// The digest changes with each record, so the candidates are selected once for each change of the
// members instead of at each poll.
const FollowerRole::Candidates &FollowerRole::candidates() const
{
    const membership::MemberTable &table = members_.table();
    if (!candidates_.nodes.empty() && candidatesDigest_ == table.digest())
        return candidates_;
    std::map<core::identity::DataCentreId, std::size_t> sizes;
    for (const auto &[id, record] : table.records()) {
        if (record.state == membership::MemberState::Alive)
            ++sizes[record.dataCentre];
    }
    candidates_ = Candidates{};
    for (const auto &entry : sizes) {
        const core::identity::DataCentreId &dataCentre = entry.first;
        const bool isLocal = dataCentre == members_.self().dataCentre;
        const std::size_t wanted = followerCount(entry.second);
        auto selected = membership::selectMembers(
                table, followerTopic, wanted + (isLocal ? substitutes : 0),
                [&](const MemberRecord &record) { return record.dataCentre == dataCentre; });
        if (!isLocal) {
            candidates_.remoteFollowers.insert(candidates_.remoteFollowers.end(), selected.begin(),
                                               selected.end());
            continue;
        }
        candidates_.selected = std::min(wanted, selected.size());
        candidates_.nodes = std::move(selected);
    }
    candidatesDigest_ = table.digest();
    return candidates_;
}

} // namespace boragetrack::control::distribution
