/** Selects members by rendezvous hashing, which needs no coordination and reassigns few tasks
    when members change. */
#include "control/membership/MemberSelection.h"

#include "core/hashing/StableHash.h"

#include <algorithm>
#include <functional>

namespace boragetrack::control::membership {

namespace {
constexpr const char *watcherTopic = "platform-watcher";
} // namespace

bool isAmongSelected(const MemberRecord &self, const MemberTable &members, const std::string &topic,
                     std::size_t count, const MemberFilter &filter)
{
    const auto weightOf = [&](const MemberRecord &record) {
        return core::hashing::rendezvousWeight(topic, record.id.value());
    };
    const std::uint64_t own = weightOf(self);
    std::size_t higher = 0;
    for (const auto &[id, record] : members.records()) {
        const bool isCandidate
                = id != self.id && record.state == MemberState::Alive && filter(record);
        higher += isCandidate && weightOf(record) > own;
    }
    return higher < count;
}

std::vector<core::identity::NodeId> selectMembers(const MemberTable &members,
                                                  const std::string &topic, std::size_t count,
                                                  const MemberFilter &filter)
{
    std::vector<std::pair<std::uint64_t, core::identity::NodeId>> weighed;
    for (const auto &[id, record] : members.records()) {
        if (record.state == MemberState::Alive && filter(record))
            weighed.emplace_back(core::hashing::rendezvousWeight(topic, id.value()), id);
    }
    std::sort(weighed.begin(), weighed.end(), std::greater<>());
    weighed.resize(std::min(weighed.size(), count));
    std::vector<core::identity::NodeId> selected;
    selected.reserve(weighed.size());
    for (auto &[weight, id] : weighed)
        selected.push_back(std::move(id));
    return selected;
}

bool isWatcher(const MemberRecord &self, const MemberTable &members)
{
    return isAmongSelected(
            self, members, watcherTopic, watchersPerDataCentre,
            [&](const MemberRecord &record) { return record.dataCentre == self.dataCentre; });
}

} // namespace boragetrack::control::membership
