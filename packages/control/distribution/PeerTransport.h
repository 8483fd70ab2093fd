/** How control decisions reach other nodes. */
#pragma once

#include "control/distribution/Exchange.h"
#include "control/distribution/IntentTransfer.h"
#include "control/distribution/PeerContact.h"
#include "control/membership/MemberTable.h"

namespace boragetrack::control::distribution {

/** Sends control messages without blocking; answers come back as events of ControlPlane. */
class PeerTransport
{
public:
    virtual ~PeerTransport() = default;

    /** Sends an exchange; ends in ControlPlane::exchangeAnswered or exchangeFailed. */
    virtual void sendExchange(const PeerContact &peer, const Exchange &exchange) = 0;

    /** Pushes an intent; ends in ControlPlane::pushAnswered, or in nothing when it fails. */
    virtual void pushIntent(const PeerContact &peer, const IntentTransfer &transfer) = 0;

    /** Asks for a newer intent than the given one; ends in ControlPlane::intentReceived. */
    virtual void fetchIntent(const PeerContact &peer, core::identity::Revision have) = 0;

    /** Asks for the members that differ; ends in ControlPlane::membersReceived. */
    virtual void fetchMembers(const PeerContact &peer,
                              const membership::MemberTable::BucketHashes &hashes)
            = 0;
};

} // namespace boragetrack::control::distribution
