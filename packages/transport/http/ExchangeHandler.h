/** Interface between HTTP server connections and the code that handles requests. */
#pragma once

#include "transport/http/ServerExchange.h"
#include "transport/http/ServerLimits.h"

namespace boragetrack::transport::http {

/** Handles requests on the traffic thread, concurrently for different connections, and those of one
    connection as isConcurrent() says. */
class ExchangeHandler
{
public:
    virtual ~ExchangeHandler() = default;

    /** Handles one request and writes its response. If the client disconnects, the promise is
        dropped, which cancels the request.
        @param exchange valid as long as the promise */
    virtual kj::Promise<void> handle(ServerExchange &exchange) = 0;

    /** Returns whether a request may run beside others of its connection. Any other request runs
        when all before it are answered, and those behind it afterwards. */
    virtual bool isConcurrent(const RequestHead & /*head*/) const { return false; }

    /** Returns the limits that apply to a connection's next request. */
    virtual ServerLimits limits() const { return {}; }

    /** Returns the response to a request that is malformed, too large or overdue. */
    virtual ResponseHead responseTo(const MessageFault &fault) const
    {
        return ResponseHead{fault.status, {}};
    }
};

} // namespace boragetrack::transport::http
