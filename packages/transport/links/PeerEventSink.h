/** Interface for the results of control requests to peers. */
#pragma once

#include "control/distribution/Exchange.h"
#include "control/distribution/IntentTransfer.h"
#include "control/distribution/PeerContact.h"
#include "control/membership/MemberRecord.h"
#include "control/usage/UsageTransport.h"

#include <vector>

namespace boragetrack::transport::links {

/** Receives peers' responses to control requests. Called on the traffic thread. */
class PeerEventSink
{
public:
    virtual ~PeerEventSink() = default;

    /** Handles the response to an exchange. */
    virtual void exchangeResponseReceived(control::distribution::PeerContact peer,
                                          control::distribution::Exchange response)
            = 0;

    /** Handles an exchange that received no response. */
    virtual void exchangeFailed(control::distribution::PeerContact peer) = 0;

    /** Handles that the link to a peer has ended, as it does when the peer's process ends. */
    virtual void peerDisconnected(core::identity::NetworkAddress peer) = 0;

    /** Handles the intent that a peer sent on request. */
    virtual void intentFetched(control::distribution::PeerContact peer,
                               control::distribution::IntentTransfer transfer)
            = 0;

    /** Handles the response to a pushed intent. @param peerRevision the peer's revision after it */
    virtual void pushResponseReceived(core::identity::Revision peerRevision) = 0;

    /** Handles that a peer has routed calls by a later intent than this node. @param revision the
        revision of that intent */
    virtual void laterIntentSeen(control::distribution::PeerContact peer,
                                 core::identity::Revision revision)
            = 0;

    /** Handles the member records that a peer sent on request. */
    virtual void membersFetched(std::vector<control::membership::MemberRecord> records) = 0;

    /** Handles the response to counts that were sent to a peer. @param callback of the sender, to
        be called on the control thread */
    virtual void usageResponseReceived(control::usage::UsageTransport::Callback callback,
                                       control::usage::UsageWindow reportedThrough)
            = 0;
};

} // namespace boragetrack::transport::links
