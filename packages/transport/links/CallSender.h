/** Sends calls to endpoints. */
#pragma once

#include "core/identity/NetworkAddress.h"
#include "core/identity/NodeId.h"
#include "traffic/calls/CallRequest.h"
#include "traffic/calls/CallResponse.h"

#include <kj/async.h>

namespace boragetrack::transport::links {

/** Carries a call to the node beside an upstream, be it this node or another. */
class CallSender
{
public:
    virtual ~CallSender() = default;

    /** Returns the answer; never rejects. Dropping the promise cancels the call. */
    virtual kj::Promise<traffic::calls::CallResponse>
    send(const core::identity::NodeId &node, const core::identity::NetworkAddress &address,
         const traffic::calls::CallRequest &request)
            = 0;
};

} // namespace boragetrack::transport::links
