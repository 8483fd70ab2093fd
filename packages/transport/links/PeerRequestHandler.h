/** What answers other nodes' control requests. */
#pragma once

#include "control/distribution/Exchange.h"
#include "control/distribution/IntentTransfer.h"
#include "control/membership/MemberTable.h"

#include <functional>
#include <vector>

namespace boragetrack::transport::links {

/** Answers control requests; called on the link thread, answers from any thread. A reply that is
    destroyed without a call fails the request. */
class PeerRequestHandler
{
public:
    template <typename Answer>
    using Callback = std::function<void(Answer)>;

    virtual ~PeerRequestHandler() = default;

    /** Handles an exchange. */
    virtual void handleExchange(control::distribution::Exchange request,
                                Callback<control::distribution::Exchange> reply)
            = 0;

    /** Handles a pushed intent; the answer is the revision held after it. */
    virtual void handlePush(core::identity::NodeId sender,
                            control::distribution::IntentTransfer transfer,
                            Callback<core::identity::Revision> reply)
            = 0;

    /** Handles a request for a newer intent. */
    virtual void handleFetchIntent(core::identity::Revision have,
                                   Callback<control::distribution::IntentTransfer> reply)
            = 0;

    /** Handles a request for the members that differ. */
    virtual void handleFetchMembers(control::membership::MemberTable::BucketHashes hashes,
                                    Callback<std::vector<control::membership::MemberRecord>> reply)
            = 0;
};

} // namespace boragetrack::transport::links
