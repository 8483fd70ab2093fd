/** Checks with a connection of its own that the server accepts connections, and then sends the
    request with ulfius. */
#include "transport/http/UlfiusClient.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <ulfius.h>
#include <unistd.h>

namespace boragetrack::transport::http {

using traffic::calls::HeaderField;

namespace {

/** Initialises a ulfius request and releases it on destruction. */
class ScopedRequest
{
public:
    ScopedRequest() { ulfius_init_request(&request_); }
    ~ScopedRequest() { ulfius_clean_request(&request_); }
    ScopedRequest(const ScopedRequest &) = delete;
    ScopedRequest &operator=(const ScopedRequest &) = delete;
    _u_request *get() { return &request_; }

private:
    _u_request request_{};
};

/** Initialises a ulfius response and releases it on destruction. */
class ScopedResponse
{
public:
    ScopedResponse() { ulfius_init_response(&response_); }
    ~ScopedResponse() { ulfius_clean_response(&response_); }
    ScopedResponse(const ScopedResponse &) = delete;
    ScopedResponse &operator=(const ScopedResponse &) = delete;
    _u_response *get() { return &response_; }

private:
    _u_response response_{};
};

// ulfius does not distinguish a refused connection from a lost response. A connection opened just
// before shows whether the server is listening; only if it is refused, it is certain that no
// request was sent.
bool isAcceptingConnections(const core::identity::NetworkAddress &server)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(server.port);
    if (inet_pton(AF_INET, server.host.c_str(), &address.sin_addr) != 1)
        return false;
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const bool isConnected
            = ::connect(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0;
    ::close(descriptor);
    return isConnected;
}

HttpResponse responseFrom(const _u_response *source)
{
    HttpResponse response;
    response.status = static_cast<int>(source->status);
    const char **keys = u_map_enum_keys(source->map_header);
    for (int i = 0; keys != nullptr && keys[i] != nullptr; ++i)
        response.headers.push_back(HeaderField{keys[i], u_map_get(source->map_header, keys[i])});
    if (source->binary_body != nullptr)
        response.body.assign(static_cast<const char *>(source->binary_body),
                             source->binary_body_length);
    return response;
}

} // namespace

absl::StatusOr<HttpResponse> UlfiusClient::send(const core::identity::NetworkAddress &server,
                                                const HttpRequest &request,
                                                std::chrono::milliseconds timeout)
{
    if (!isAcceptingConnections(server))
        return absl::UnavailableError("cannot connect to " + server.toString());
    ScopedRequest outgoing;
    const std::string url = "http://" + server.toString() + request.target;
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(timeout);
    ulfius_set_request_properties(outgoing.get(), U_OPT_HTTP_VERB, request.method.c_str(),
                                  U_OPT_HTTP_URL, url.c_str(), U_OPT_TIMEOUT,
                                  static_cast<unsigned long>(seconds.count()), U_OPT_NONE);
    for (const HeaderField &field : request.headers)
        u_map_put(outgoing.get()->map_header, field.name.c_str(), field.value.c_str());
    ulfius_set_binary_body_request(outgoing.get(), request.body.data(), request.body.size());
    ScopedResponse incoming;
    if (ulfius_send_http_request(outgoing.get(), incoming.get()) != U_OK)
        return absl::UnknownError("no response from " + server.toString());
    return responseFrom(incoming.get());
}

} // namespace boragetrack::transport::http
