/** What an HTTP server calls. */
#pragma once

#include "transport/http/HttpRequest.h"
#include "transport/http/HttpResponse.h"

namespace boragetrack::transport::http {

/** Answers requests; called on the server's threads, several at once. */
class HttpHandler
{
public:
    virtual ~HttpHandler() = default;

    /** Returns the response to a request; may block. */
    virtual HttpResponse handle(const HttpRequest &request) = 0;
};

} // namespace boragetrack::transport::http
