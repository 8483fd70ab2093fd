/** Interface for sending calls to nodes. */
#pragma once

#include "core/identity/NetworkAddress.h"
#include "core/identity/NodeId.h"
#include "traffic/calls/CallRequest.h"
#include "traffic/calls/CallResponse.h"

#include <kj/async.h>

namespace boragetrack::transport::links {

/** Sends a call to the node that is co-located with the chosen upstream, which may be this node. */
class CallSender
{
public:
    virtual ~CallSender() = default;

    /** Sends a call and returns its response; never rejects. Dropping the promise cancels the call.
        @param address of the node's peer listener */
    virtual kj::Promise<traffic::calls::CallResponse>
    send(const core::identity::NodeId &node, const core::identity::NetworkAddress &address,
         const traffic::calls::CallRequest &request)
            = 0;
};

} // namespace boragetrack::transport::links
