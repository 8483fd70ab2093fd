/** The message by which two nodes compare what they know. */
#pragma once

#include "control/membership/MemberRecord.h"
#include "control/membership/Suspicion.h"
#include "control/moves/EvidenceEntry.h"
#include "control/moves/MoveVerdict.h"
#include "core/identity/Revision.h"

#include <cstdint>
#include <vector>

namespace boragetrack::control::distribution {

/** Carries news in both directions: a request and its answer have the same form. */
struct Exchange
{
    core::identity::NodeId sender;
    /** The revision that the sender holds. */
    core::identity::Revision revision;
    /** The highest revision that the sender knows the receiver to have served. */
    core::identity::Revision receiverMinimumRevision;
    /** The digest of the sender's member table. */
    std::uint64_t memberDigest = 0;
    /** Whether the sender follows the durable store and reaches it. */
    bool isFollower = false;
    /** Whether the sender relies on the receiver for the store's news. */
    bool requestsUpdates = false;
    std::vector<membership::MemberRecord> members;
    std::vector<membership::Suspicion> suspicions;
    std::vector<moves::MoveVerdict> verdicts;
    std::vector<moves::EvidenceEntry> evidence;
};

} // namespace boragetrack::control::distribution
