/** Implements the choice of nodes for tasks. */
#include "control/membership/WatcherElection.h"

#include "core/hashing/StableHash.h"

namespace boragetrack::control::membership {

namespace {
constexpr const char *watcherTopic = "platform-watcher";
} // namespace

bool isAmongChosen(const MemberRecord &self, const MemberTable &members, const std::string &topic,
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

bool isWatcher(const MemberRecord &self, const MemberTable &members)
{
    return isAmongChosen(
            self, members, watcherTopic, watchersPerDataCentre,
            [&](const MemberRecord &record) { return record.dataCentre == self.dataCentre; });
}

} // namespace boragetrack::control::membership
