/** The interface through which control decisions send messages to other nodes. */
#pragma once

#include "control/distribution/Exchange.h"
#include "control/distribution/IntentTransfer.h"
#include "control/distribution/PeerContact.h"
#include "control/membership/MemberTable.h"

namespace boragetrack::control::distribution {

/** Sends control messages without blocking; responses arrive as events of ControlPlane. */
class PeerTransport
{
public:
    virtual ~PeerTransport() = default;

    /** Sends an exchange. Ends in ControlPlane::exchangeResponseReceived or exchangeFailed. */
    virtual void sendExchange(const PeerContact &peer, const Exchange &exchange) = 0;

    /** Pushes an intent. Ends in ControlPlane::pushResponseReceived, or without an event if it
        fails. */
    virtual void pushIntent(const PeerContact &peer, const IntentTransfer &transfer) = 0;

    /** Requests an intent newer than revision @p have. Ends in ControlPlane::intentReceived, or
        without an event if it fails. */
    virtual void fetchIntent(const PeerContact &peer, core::identity::Revision have) = 0;

    /** Requests the members that differ from this node's table. Ends in
        ControlPlane::membersReceived, or without an event if it fails.
        @param hashes the bucket hashes of this node's table */
    virtual void fetchMembers(const PeerContact &peer,
                              const membership::MemberTable::BucketHashes &hashes)
            = 0;
};

} // namespace boragetrack::control::distribution
