/** Interface between the exchanges of a connection and the order of their responses. */
#pragma once

#include "transport/http/PipelineQueue.h"

#include "transport/http/HeldResponse.h"

#include <kj/async.h>
#include <memory>

namespace boragetrack::transport::http {

/** Tells an exchange when its response may be written, and learns what decides about the requests
    behind it. */
class ResponseOrder
{
public:
    virtual ~ResponseOrder() = default;

    /** Handles that an exchange has read its request as far as it will.
        @param mayContinue whether another request may follow on the connection */
    virtual void handleRequestRead(PipelineQueue::Number number, bool mayContinue) = 0;

    /** Returns whether an exchange may write its response now. */
    virtual bool isFirst(PipelineQueue::Number number) const = 0;

    /** Resolves once an exchange may write its response. Never resolves if the response has no room
        to wait; the exchange is then cancelled.
        @param bytes of the response that are held */
    virtual kj::Promise<void> whenFirst(PipelineQueue::Number number, std::size_t bytes) = 0;

    /** Handles that the first exchange begins to write its response. */
    virtual void beginFirstResponse() = 0;

    /** Counts bytes of a response until the result is destroyed. */
    virtual std::unique_ptr<HeldResponse> hold(std::size_t bytes) = 0;

    /** Handles that the client has taken a part of a response. */
    virtual void handleProgress() = 0;

    /** @see PipelineQueue::closeAfter */
    virtual void closeAfter(PipelineQueue::Number number) = 0;

    /** @see PipelineQueue::closeAfterStarted */
    virtual void closeAfterStarted() = 0;

    /** @see PipelineQueue::closesAfter */
    virtual bool closesAfter(PipelineQueue::Number number) const = 0;
};

} // namespace boragetrack::transport::http
