/** An HTTP client on ulfius. */
#pragma once

#include "transport/http/HttpClient.h"

namespace boragetrack::transport::http {

/** Opens a connection for each request, so that no request is ever sent twice by the library. */
class UlfiusClient : public HttpClient
{
public:
    absl::StatusOr<HttpResponse> send(const core::identity::NetworkAddress &server,
                                      const HttpRequest &request,
                                      std::chrono::milliseconds timeout) override;
};

} // namespace boragetrack::transport::http
