/** Interface between HttpServer and the code that handles requests. */
#pragma once

#include "transport/http/HttpRequest.h"
#include "transport/http/HttpResponse.h"

namespace boragetrack::transport::http {

/** Handles requests; called concurrently on the server's connection threads. */
class HttpHandler
{
public:
    virtual ~HttpHandler() = default;

    /** Returns the response to a request; may block. An exception becomes status 500. */
    virtual HttpResponse handle(const HttpRequest &request) = 0;
};

} // namespace boragetrack::transport::http
