/** Blocking HTTP client. */
#pragma once

#include "transport/http/HttpClient.h"

namespace boragetrack::transport::http {

/** Opens a new connection for each request, and runs it on an event loop of its own. The calling
    thread must not have an event loop. May be called from several threads concurrently. */
class BlockingClient : public HttpClient
{
public:
    absl::StatusOr<HttpResponse> send(const core::identity::NetworkAddress &server,
                                      const HttpRequest &request,
                                      std::chrono::milliseconds timeout) override;
};

} // namespace boragetrack::transport::http
