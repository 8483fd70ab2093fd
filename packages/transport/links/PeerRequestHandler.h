/** Interface for handling the control requests of peers. */
#pragma once

#include "control/distribution/Exchange.h"
#include "control/distribution/IntentTransfer.h"
#include "control/membership/MemberTable.h"
#include "control/usage/UsageSnapshot.h"

#include <functional>
#include <vector>

namespace boragetrack::transport::links {

/** Handles control requests. Called on the traffic thread; a callback may be called on any thread,
    once. Destroying a callback without calling it fails the request. */
class PeerRequestHandler
{
public:
    /** Sends the response to a request. */
    template <typename Response>
    using Callback = std::function<void(Response)>;

    virtual ~PeerRequestHandler() = default;

    /** Handles an exchange. */
    virtual void handleExchange(control::distribution::Exchange request,
                                Callback<control::distribution::Exchange> callback)
            = 0;

    /** Handles a pushed intent; the response is this node's revision after it. */
    virtual void handlePush(core::identity::NodeId sender,
                            control::distribution::IntentTransfer transfer,
                            Callback<core::identity::Revision> callback)
            = 0;

    /** Handles a request for a newer intent. @param have the peer's revision */
    virtual void handleFetchIntent(core::identity::Revision have,
                                   Callback<control::distribution::IntentTransfer> callback)
            = 0;

    /** Handles a request for the records in the buckets of the member table that differ.
        @param hashes of the peer's buckets */
    virtual void
    handleFetchMembers(control::membership::MemberTable::BucketHashes hashes,
                       Callback<std::vector<control::membership::MemberRecord>> callback)
            = 0;

    /** Handles the counts of a peer; the response is the last window known as reported. A node
        without usage reports does not respond. */
    virtual void handleUsage(control::usage::UsageSnapshot snapshot,
                             Callback<control::usage::UsageWindow> callback)
            = 0;
};

} // namespace boragetrack::transport::links
