/** Alternates between neighbours and seeds, and probes departed members at random. */
#include "control/distribution/PeerSelector.h"

#include "core/hashing/StableHash.h"

#include <algorithm>
#include <tuple>

namespace boragetrack::control::distribution {

using core::identity::NetworkAddress;
using core::identity::NodeId;
using membership::MemberRecord;
using membership::MemberState;

namespace {

// One in this many exchanges goes to a seed, so that the two sides of a healed partition find each
// other.
constexpr std::uint64_t seedExchangeInterval = 10;
// Nodes that probe for a departed member per tick, on average; enough to find a restarted one
// within seconds.
constexpr std::size_t probersPerTick = 3;

bool hasDeparted(const MemberRecord &record)
{
    return record.state == MemberState::Dead || record.state == MemberState::Left;
}

} // namespace

PeerSelector::PeerSelector(const membership::MembershipEngine &members,
                           std::vector<NetworkAddress> seeds, std::mt19937_64 &random)
    : members_(members)
    , seeds_(std::move(seeds))
    , random_(random)
{
    std::erase(seeds_, members_.self().peerAddress);
}

bool PeerSelector::addSeed(const NetworkAddress &address)
{
    const bool isOwn = address == members_.self().peerAddress;
    const bool isSeed = std::find(seeds_.begin(), seeds_.end(), address) != seeds_.end();
    if (isOwn || isSeed)
        return false;
    seeds_.push_back(address);
    return idAt(address).isEmpty();
}

std::optional<PeerContact> PeerSelector::nextExchangePeer()
{
    ++exchangeCount_;
    const auto &neighbours = members_.neighbours();
    const bool isSeedTurn = neighbours.empty() || exchangeCount_ % seedExchangeInterval == 0;
    if (isSeedTurn && !seeds_.empty())
        return PeerContact{{}, seeds_[random_() % seeds_.size()]};
    if (neighbours.empty())
        return std::nullopt;
    nextNeighbour_ = (nextNeighbour_ + 1) % neighbours.size();
    return contactOf(neighbours[nextNeighbour_]);
}

std::optional<PeerContact> PeerSelector::nextDepartedPeer()
{
    std::vector<const MemberRecord *> departed;
    for (const auto &[id, record] : members_.table().records()) {
        if (hasDeparted(record))
            departed.push_back(&record);
    }
    const std::size_t probers = members_.table().records().size() - departed.size();
    if (departed.empty() || random_() % std::max<std::size_t>(1, probers / probersPerTick) != 0)
        return std::nullopt;
    const MemberRecord &record = *departed[random_() % departed.size()];
    return PeerContact{record.id, record.peerAddress};
}

std::optional<PeerContact> PeerSelector::contactOf(const NodeId &id) const
{
    const MemberRecord *record = members_.table().find(id);
    if (record == nullptr)
        return std::nullopt;
    return PeerContact{id, record->peerAddress};
}

NodeId PeerSelector::idAt(const NetworkAddress &address) const
{
    for (const auto &[id, record] : members_.table().records()) {
        if (record.peerAddress == address)
            return id;
    }
    return NodeId{};
}

std::vector<NetworkAddress> PeerSelector::nearestAddresses(std::size_t maximum) const
{
    const MemberRecord &self = members_.self();
    const std::uint64_t ownHash = core::hashing::stableHash(self.id.value());
    // Distances on a ring of all hash values: the subtraction wraps around.
    std::vector<std::tuple<bool, std::uint64_t, NetworkAddress>> distances;
    for (const auto &[id, record] : members_.table().records()) {
        if (id != self.id && !hasDeparted(record))
            distances.emplace_back(record.dataCentre != self.dataCentre,
                                   core::hashing::stableHash(id.value()) - ownHash,
                                   record.peerAddress);
    }
    std::sort(distances.begin(), distances.end());
    std::vector<NetworkAddress> addresses;
    for (const auto &entry : distances) {
        if (addresses.size() < maximum)
            addresses.push_back(std::get<NetworkAddress>(entry));
    }
    return addresses;
}

std::vector<PeerContact> PeerSelector::neighbourContacts() const
{
    std::vector<PeerContact> contacts;
    for (const NodeId &id : members_.neighbours()) {
        if (const auto contact = contactOf(id))
            contacts.push_back(*contact);
    }
    return contacts;
}

} // namespace boragetrack::control::distribution
