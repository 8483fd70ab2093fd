/** Blocking HTTP server based on ulfius. */
#pragma once

#include "core/identity/NetworkAddress.h"
#include "transport/http/HttpHandler.h"

#include <absl/status/status.h>
#include <cstddef>
#include <memory>

namespace boragetrack::transport::http {

/** Listens on one address and handles each connection on its own thread. */
class HttpServer
{
public:
    /** Maximum size of a request body, in bytes; larger ones are refused with status 413. */
    static constexpr std::size_t maximumBodyBytes = 1'048'576;
    /** Maximum number of concurrent connections. */
    static constexpr unsigned int maximumConnections = 1000;

    /** @param handler outlives the server */
    HttpServer(core::identity::NetworkAddress address, HttpHandler &handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Starts listening.
        @returns InvalidArgument if the host is not an IPv4 address, Internal if the listener can
        not be set up, Unavailable if the address can not be used */
    absl::Status start();

    /** Stops listening and waits for the requests in progress. */
    void stop();

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace boragetrack::transport::http
