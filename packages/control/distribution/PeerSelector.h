/** Selection of the peers that periodic exchanges are sent to. */
#pragma once

#include "control/distribution/PeerContact.h"
#include "control/membership/MembershipEngine.h"

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace boragetrack::control::distribution {

/** Returns neighbours in rotation, occasionally a seed, and members that have died or left. */
class PeerSelector
{
public:
    /** @param members and @param random must outlive the selector */
    PeerSelector(const membership::MembershipEngine &members,
                 std::vector<core::identity::NetworkAddress> seeds, std::mt19937_64 &random);

    /** Returns the seeds: addresses whose nodes need not be known as members. */
    const std::vector<core::identity::NetworkAddress> &seeds() const { return seeds_; }

    /** Adds a seed. @returns whether the address was new and belongs to no known member */
    bool addSeed(const core::identity::NetworkAddress &address);

    /** Returns the neighbour or seed for the next exchange, or nothing if there is none. */
    std::optional<PeerContact> nextExchangePeer();

    /** Returns a dead or departed member to probe now, if any. A restarted node may know no other
        member while the store is unavailable, so members that remember its address probe it; all
        members share this work. */
    std::optional<PeerContact> nextDepartedPeer();

    /** Returns the contact of a member, or nothing for an unknown one. */
    std::optional<PeerContact> contactOf(const core::identity::NodeId &id) const;

    /** Returns the member at an address, or an empty id if none is known there. */
    core::identity::NodeId idAt(const core::identity::NetworkAddress &address) const;

    /** Returns the addresses of the members that follow this node in the order of their hashes,
        those of its data centre first. */
    std::vector<core::identity::NetworkAddress> nearestAddresses(std::size_t maximum) const;

    /** Returns the contacts of the neighbours. */
    std::vector<PeerContact> neighbourContacts() const;

private:
    const membership::MembershipEngine &members_;
    // Invariant: does not contain this node's own address.
    std::vector<core::identity::NetworkAddress> seeds_;
    std::mt19937_64 &random_;
    std::size_t nextNeighbour_ = 0;
    std::uint64_t exchangeCount_ = 0;
};

} // namespace boragetrack::control::distribution
