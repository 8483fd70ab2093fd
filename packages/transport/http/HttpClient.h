/** Interface of a blocking HTTP client. */
#pragma once

#include "core/identity/NetworkAddress.h"
#include "transport/http/HttpRequest.h"
#include "transport/http/HttpResponse.h"

#include <absl/status/statusor.h>
#include <chrono>

namespace boragetrack::transport::http {

/** Sends control requests and blocks until the response arrives; not used for calls. */
class HttpClient
{
public:
    virtual ~HttpClient() = default;

    /** Sends a request and returns its response.
        @param timeout for the whole exchange, including the time to connect
        @returns Unavailable if the server certainly did not receive the request, OutOfRange if the
        response is too large, Unknown if it was lost, invalid or late */
    virtual absl::StatusOr<HttpResponse> send(const core::identity::NetworkAddress &server,
                                              const HttpRequest &request,
                                              std::chrono::milliseconds timeout)
            = 0;
};

} // namespace boragetrack::transport::http
