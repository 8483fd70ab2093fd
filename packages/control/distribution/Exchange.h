/** The anti-entropy message between two nodes. */
#pragma once

#include "control/membership/MemberRecord.h"
#include "control/membership/Suspicion.h"
#include "control/moves/EvidenceEntry.h"
#include "control/moves/MoveVerdict.h"
#include "core/identity/IntentNumber.h"
#include "core/identity/Revision.h"
#include "core/timing/MonotonicTime.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace boragetrack::control::distribution {

/** Carries gossip and the sender's digests; the request and the response have the same form. */
struct Exchange
{
    core::identity::NodeId sender;
    /** Where the sender's peers reach it; without a port if it did not tell. A receiver that has
        just started need not have the sender's record. */
    core::identity::NetworkAddress senderAddress;
    /** The revision that the sender holds. */
    core::identity::Revision revision;
    /** The time for which the sender has held that revision; nothing if it did not tell. */
    std::optional<std::chrono::milliseconds> revisionAge;
    /** The number of the intent in force on the sender; zero if it has none or did not tell. */
    core::identity::IntentNumber intentNumber;
    /** The highest revision that the receiver, in this process or an earlier one, reported to the
        sender. After a restart the receiver waits until it holds that revision again. */
    core::identity::Revision receiverMinimumRevision;
    /** The departure of an upstream that the receiver, in this process or an earlier one, reported
        last. After a restart the receiver doesn't use that upstream again. */
    std::optional<membership::AnnouncementStamp> receiverDeparture;
    /** The generation of the earliest process of the receiver that the sender has known; zero if it
        has known none. One before the receiver's own shows that the sender's memory goes back to an
        earlier process. */
    std::uint64_t receiverKnownSince = 0;
    /** The digest of the sender's member table. */
    std::uint64_t memberDigest = 0;
    /** Whether the sender follows the durable store and can reach it. */
    bool isFollower = false;
    /** The time since the sender's last contact with the durable store, itself or through peers;
        nothing if it has had none. The receiver of a response adds the time since its request. */
    std::optional<std::chrono::milliseconds> storeContactAge;
    /** In a response: the time since its request, in which it may have been held up anywhere. Set
       by the receiver; not transmitted. */
    std::chrono::milliseconds roundTrip{0};
    /** In a response: when it arrived in this process, before it waited for the control thread. Set
       by the receiver; not transmitted. */
    std::optional<core::timing::MonotonicTime> arrivedAt;
    /** Whether the sender depends on the receiver for updates of the store. */
    bool requestsUpdates = false;
    /** Whether the sender asks the receiver to read the store, which does not serve the sender. */
    bool requestsStoreRead = false;
    std::vector<membership::MemberRecord> members;
    std::vector<membership::Suspicion> suspicions;
    std::vector<moves::MoveVerdict> verdicts;
    std::vector<moves::EvidenceEntry> evidence;
};

} // namespace boragetrack::control::distribution
