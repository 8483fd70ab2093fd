/** Blocking HTTP client based on ulfius. */
#pragma once

#include "transport/http/HttpClient.h"

namespace boragetrack::transport::http {

/** Opens a new connection for each request, so that the library never sends a request twice. */
class UlfiusClient : public HttpClient
{
public:
    absl::StatusOr<HttpResponse> send(const core::identity::NetworkAddress &server,
                                      const HttpRequest &request,
                                      std::chrono::milliseconds timeout) override;
};

} // namespace boragetrack::transport::http
