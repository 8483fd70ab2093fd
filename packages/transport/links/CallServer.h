/** What serves calls on the link thread. */
#pragma once

#include "core/identity/IdempotencyKey.h"
#include "core/identity/NodeId.h"
#include "traffic/calls/CallRequest.h"
#include "traffic/calls/CallResponse.h"

#include <kj/async.h>

namespace boragetrack::transport::links {

/** Serves calls for the upstream beside this node, and claims; lives on the link thread. */
class CallServer
{
public:
    virtual ~CallServer() = default;

    /** Returns the answer to a call. Dropping the promise cancels the call. */
    virtual kj::Promise<traffic::calls::CallResponse> serve(traffic::calls::CallRequest request)
            = 0;

    /** Returns the holder of a claim after trying to claim a key. */
    virtual core::identity::NodeId claim(const core::identity::IdempotencyKey &key,
                                         const core::identity::NodeId &claimant)
            = 0;

    /** Gives up a claim. */
    virtual void release(const core::identity::IdempotencyKey &key,
                         const core::identity::NodeId &claimant)
            = 0;
};

} // namespace boragetrack::transport::links
