/** Implements the choice of watchers. */
#include "control/membership/WatcherElection.h"

#include "core/hashing/StableHash.h"

namespace boragetrack::control::membership {

namespace {
constexpr const char *watcherTopic = "platform-watcher";
} // namespace

bool isWatcher(const MemberRecord &self, const MemberTable &members)
{
    const auto weightOf = [](const MemberRecord &record) {
        return core::hashing::rendezvousWeight(watcherTopic, record.id.value());
    };
    const std::uint64_t own = weightOf(self);
    std::size_t higher = 0;
    for (const auto &[id, record] : members.records()) {
        const bool isCandidate = record.dataCentre == self.dataCentre && id != self.id
                                 && record.state == MemberState::Alive;
        higher += isCandidate && weightOf(record) > own;
    }
    return higher < watchersPerDataCentre;
}

} // namespace boragetrack::control::membership
