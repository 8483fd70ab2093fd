/** Converts between the messages of ulfius and those of HttpHandler, and sets the limits of the
    underlying libmicrohttpd. */
#include "transport/http/HttpServer.h"

#include <arpa/inet.h>
#include <csignal>
#include <ulfius.h>

namespace boragetrack::transport::http {

using traffic::calls::HeaderField;

namespace {

constexpr int payloadTooLarge = 413;
constexpr int internalError = 500;
constexpr unsigned int idleConnectionSeconds = 30;
constexpr std::size_t connectionMemoryBytes = std::size_t{32} * 1024;
constexpr std::size_t threadStackBytes = std::size_t{256} * 1024;

HttpRequest requestFrom(const _u_request *source)
{
    HttpRequest request;
    request.method = source->http_verb;
    request.target = source->http_url;
    const char **keys = u_map_enum_keys(source->map_header);
    for (int i = 0; keys != nullptr && keys[i] != nullptr; ++i)
        request.headers.push_back(HeaderField{keys[i], u_map_get(source->map_header, keys[i])});
    if (source->binary_body != nullptr)
        request.body.assign(static_cast<const char *>(source->binary_body),
                            source->binary_body_length);
    return request;
}

void copyResponse(const HttpResponse &response, _u_response *target)
{
    for (const HeaderField &field : response.headers)
        u_map_put(target->map_header, field.name.c_str(), field.value.c_str());
    // ulfius does not set the status together with an empty body.
    target->status = response.status;
    ulfius_set_binary_body_response(target, static_cast<unsigned int>(response.status),
                                    response.body.data(), response.body.size());
}

HttpResponse respond(HttpHandler &handler, const HttpRequest &request)
{
    // ulfius truncates a body at its limit, which is set one byte above maximumBodyBytes.
    if (request.body.size() > HttpServer::maximumBodyBytes)
        return HttpResponse{payloadTooLarge, {}, "request body over 1 MiB\n"};
    try {
        return handler.handle(request);
    } catch (const std::exception &error) {
        return HttpResponse{internalError, {}, std::string(error.what()) + "\n"};
    }
}

int handleRequest(const _u_request *source, _u_response *target, void *handler)
{
    copyResponse(respond(*static_cast<HttpHandler *>(handler), requestFrom(source)), target);
    return U_CALLBACK_COMPLETE;
}

} // namespace

struct HttpServer::Implementation
{
    core::identity::NetworkAddress address;
    HttpHandler *handler = nullptr;
    sockaddr_in socketAddress{};
    _u_instance instance{};
    bool isRunning = false;
};

HttpServer::HttpServer(core::identity::NetworkAddress address, HttpHandler &handler)
    : implementation_(std::make_unique<Implementation>())
{
    implementation_->address = std::move(address);
    implementation_->handler = &handler;
}

HttpServer::~HttpServer()
{
    stop();
}

absl::Status HttpServer::start()
{
    // Writing a response to a connection that the client has closed must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    Implementation &self = *implementation_;
    self.socketAddress.sin_family = AF_INET;
    self.socketAddress.sin_port = htons(self.address.port);
    if (inet_pton(AF_INET, self.address.host.c_str(), &self.socketAddress.sin_addr) != 1)
        return absl::InvalidArgumentError("not an IPv4 address: " + self.address.host);
    if (ulfius_init_instance(&self.instance, self.address.port, &self.socketAddress, nullptr)
        != U_OK)
        return absl::InternalError("cannot set up a listener on " + self.address.toString());
    self.instance.max_post_body_size = maximumBodyBytes + 1;
    self.instance.check_utf8 = 0;
    ulfius_set_default_endpoint(&self.instance, &handleRequest, self.handler);
    MHD_OptionItem options[] = {
            {MHD_OPTION_CONNECTION_LIMIT, maximumConnections, nullptr},
            {MHD_OPTION_CONNECTION_TIMEOUT, idleConnectionSeconds, nullptr},
            {MHD_OPTION_CONNECTION_MEMORY_LIMIT, connectionMemoryBytes, nullptr},
            {MHD_OPTION_THREAD_STACK_SIZE, threadStackBytes, nullptr},
            {MHD_OPTION_SOCK_ADDR, 0, &self.socketAddress},
            {MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<intptr_t>(&ulfius_uri_logger), nullptr},
            {MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<intptr_t>(&mhd_request_completed),
             nullptr},
            {MHD_OPTION_END, 0, nullptr}};
    const unsigned int flags
            = MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_AUTO;
    if (ulfius_start_framework_with_mhd_options(&self.instance, flags, options) != U_OK) {
        ulfius_clean_instance(&self.instance);
        return absl::UnavailableError("cannot listen on " + self.address.toString());
    }
    self.isRunning = true;
    return absl::OkStatus();
}

void HttpServer::stop()
{
    if (!implementation_->isRunning)
        return;
    implementation_->isRunning = false;
    ulfius_stop_framework(&implementation_->instance);
    ulfius_clean_instance(&implementation_->instance);
}

} // namespace boragetrack::transport::http
