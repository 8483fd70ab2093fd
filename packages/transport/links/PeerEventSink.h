/** What takes the answers to control messages. */
#pragma once

#include "control/distribution/Exchange.h"
#include "control/distribution/IntentTransfer.h"
#include "control/distribution/PeerContact.h"
#include "control/membership/MemberRecord.h"

#include <vector>

namespace boragetrack::transport::links {

/** Takes answers of peers; called on the link thread. */
class PeerEventSink
{
public:
    virtual ~PeerEventSink() = default;

    /** Handles the answer to an exchange. */
    virtual void exchangeResponseReceived(control::distribution::PeerContact peer,
                                          control::distribution::Exchange answer)
            = 0;

    /** Handles an exchange without an answer. */
    virtual void exchangeFailed(control::distribution::PeerContact peer) = 0;

    /** Handles an intent that a peer sent when asked. */
    virtual void intentFetched(control::distribution::PeerContact peer,
                               control::distribution::IntentTransfer transfer)
            = 0;

    /** Handles the answer to a push. */
    virtual void pushResponseReceived(core::identity::Revision peerRevision) = 0;

    /** Handles members that a peer sent when asked. */
    virtual void membersFetched(std::vector<control::membership::MemberRecord> records) = 0;
};

} // namespace boragetrack::transport::links
