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
        @returns Unavailable if the server certainly did not receive the request, Unknown if the
        response was lost or late */
    virtual absl::StatusOr<HttpResponse> send(const core::identity::NetworkAddress &server,
                                              const HttpRequest &request,
                                              std::chrono::milliseconds timeout)
            = 0;
};

} // namespace boragetrack::transport::http
