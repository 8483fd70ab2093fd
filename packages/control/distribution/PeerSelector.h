/** Whom a node speaks to. */
#pragma once

#include "control/distribution/PeerContact.h"
#include "control/membership/MembershipEngine.h"

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace boragetrack::control::distribution {

/** Chooses the peers of periodic exchanges: neighbours in turn, at times a seed, and members that
   are gone. */
class PeerSelector
{
public:
    /** @param members and @param random outlive the selector */
    PeerSelector(const membership::MembershipEngine &members,
                 std::vector<core::identity::NetworkAddress> seeds, std::mt19937_64 &random);

    /** Returns the seeds: addresses of nodes that need not be known as members. */
    const std::vector<core::identity::NetworkAddress> &seeds() const { return seeds_; }

    /** Adds a seed. @returns whether it was new and belongs to no known member */
    bool addSeed(const core::identity::NetworkAddress &address);

    /** Returns the neighbour or seed for the next exchange; nothing when there is none. */
    std::optional<PeerContact> nextExchangePeer();

    /** Returns a member that is gone and should be looked for now, if any. A restarted node may
       know nobody while the store is away, so those who remember its address look for it; all
       members share the search. */
    std::optional<PeerContact> nextDepartedPeer();

    /** Returns how a member is reached; nothing for an unknown one. */
    std::optional<PeerContact> contactOf(const core::identity::NodeId &id) const;

    /** Returns the member at an address; empty when none is known there. */
    core::identity::NodeId idAt(const core::identity::NetworkAddress &address) const;

    /** Returns how the neighbours are reached. */
    std::vector<PeerContact> neighbourContacts() const;

private:
    const membership::MembershipEngine &members_;
    // Invariant: does not hold this node's own address.
    std::vector<core::identity::NetworkAddress> seeds_;
    std::mt19937_64 &random_;
    std::size_t nextNeighbour_ = 0;
    std::uint64_t exchangeCount_ = 0;
};

} // namespace boragetrack::control::distribution
