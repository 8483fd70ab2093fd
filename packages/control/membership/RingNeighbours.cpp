/** Builds one ring per data centre from the members that are alive or suspect, ordered by the hash
    of their ids. */
#include "control/membership/RingNeighbours.h"

#include "core/hashing/StableHash.h"

#include <algorithm>
#include <map>

namespace boragetrack::control::membership {

using core::identity::NodeId;

namespace {

constexpr std::size_t successorCount = 3;
constexpr std::size_t chordDivisions = 4;

using Ring = std::vector<std::pair<std::uint64_t, NodeId>>;

bool isReachable(const MemberRecord &record)
{
    return record.state == MemberState::Alive || record.state == MemberState::Suspect;
}

std::map<core::identity::DataCentreId, Ring> ringsOf(const MemberTable &members)
{
    std::map<core::identity::DataCentreId, Ring> rings;
    for (const auto &[id, record] : members.records()) {
        if (isReachable(record))
            rings[record.dataCentre].emplace_back(core::hashing::stableHash(id.value()), id);
    }
    for (auto &[dataCentre, ring] : rings)
        std::sort(ring.begin(), ring.end());
    return rings;
}

void addUnique(std::vector<NodeId> &neighbours, const NodeId &self, const NodeId &candidate)
{
    if (candidate == self)
        return;
    if (std::find(neighbours.begin(), neighbours.end(), candidate) == neighbours.end())
        neighbours.push_back(candidate);
}

void addFromLocalRing(std::vector<NodeId> &neighbours, const NodeId &self, const Ring &ring)
{
    const auto own = std::find_if(ring.begin(), ring.end(),
                                  [&](const auto &entry) { return entry.second == self; });
    const auto position = static_cast<std::size_t>(own - ring.begin());
    for (std::size_t step = 1; step <= std::min(successorCount, ring.size() - 1); ++step)
        addUnique(neighbours, self, ring[(position + step) % ring.size()].second);
    for (std::size_t part = 1; part < chordDivisions; ++part) {
        const std::size_t chord = ring.size() * part / chordDivisions;
        addUnique(neighbours, self, ring[(position + chord) % ring.size()].second);
    }
}

// Uses the successor of the node's own hash on the other ring, so that links are distributed
// evenly.
void addFromRemoteRing(std::vector<NodeId> &neighbours, const NodeId &self, const Ring &ring)
{
    const std::pair<std::uint64_t, NodeId> own{core::hashing::stableHash(self.value()), self};
    const auto next = std::upper_bound(ring.begin(), ring.end(), own);
    addUnique(neighbours, self, next == ring.end() ? ring.front().second : next->second);
}

} // namespace

std::vector<NodeId> RingNeighbours::neighboursOf(const MemberRecord &self,
                                                 const MemberTable &members) const
{
    std::vector<NodeId> neighbours;
    for (const auto &[dataCentre, ring] : ringsOf(members)) {
        if (dataCentre == self.dataCentre)
            addFromLocalRing(neighbours, self.id, ring);
        else
            addFromRemoteRing(neighbours, self.id, ring);
    }
    return neighbours;
}

} // namespace boragetrack::control::membership
