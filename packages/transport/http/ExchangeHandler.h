/** What a server connection hands its requests to. */
#pragma once

#include "transport/http/ServerExchange.h"
#include "transport/http/ServerLimits.h"

namespace boragetrack::transport::http {

/** Answers requests on the traffic thread; several may be under way, one for each connection. */
class ExchangeHandler
{
public:
    virtual ~ExchangeHandler() = default;

    /** Answers one request. The promise is dropped, which cancels the work, when the client goes.
        @param exchange lives as long as the promise */
    virtual kj::Promise<void> handle(ServerExchange &exchange) = 0;

    /** Returns the limits for the next request of a connection. */
    virtual ServerLimits limits() const { return {}; }

    /** Returns the answer to a message that can not be read. */
    virtual ResponseHead responseTo(const MessageFault &fault) const
    {
        return ResponseHead{fault.status, {}};
    }
};

} // namespace boragetrack::transport::http
