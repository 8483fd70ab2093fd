/** Sends HTTP requests. */
#pragma once

#include "core/identity/NetworkAddress.h"
#include "transport/http/HttpRequest.h"
#include "transport/http/HttpResponse.h"

#include <absl/status/statusor.h>
#include <chrono>

namespace boragetrack::transport::http {

/** Sends one request and waits for its response; for control purposes, not for calls. */
class HttpClient
{
public:
    virtual ~HttpClient() = default;

    /** Returns the response. Errors: Unavailable when the server certainly did not get the
        request, Unknown when the answer was lost or late. */
    virtual absl::StatusOr<HttpResponse> send(const core::identity::NetworkAddress &server,
                                              const HttpRequest &request,
                                              std::chrono::milliseconds timeout)
            = 0;
};

} // namespace boragetrack::transport::http
