/** Interface for serving the calls and claims that peers send. */
#pragma once

#include "core/identity/IdempotencyKey.h"
#include "core/identity/NodeId.h"
#include "traffic/calls/CallRequest.h"
#include "traffic/calls/CallResponse.h"

#include <kj/async.h>

namespace boragetrack::transport::links {

/** Serves calls for the node's upstream, and claims on idempotency keys for which this node is a
    registrar. Used on the traffic thread only. */
class CallServer
{
public:
    virtual ~CallServer() = default;

    /** Serves a call and returns its response. Dropping the promise cancels the call. */
    virtual kj::Promise<traffic::calls::CallResponse> serve(traffic::calls::CallRequest request)
            = 0;

    /** Claims a key for a node unless it is claimed already. @returns the holder of the claim */
    virtual core::identity::NodeId claim(const core::identity::IdempotencyKey &key,
                                         const core::identity::NodeId &claimant)
            = 0;

    /** Releases a node's claim on a key. */
    virtual void release(const core::identity::IdempotencyKey &key,
                         const core::identity::NodeId &claimant)
            = 0;
};

} // namespace boragetrack::transport::links
