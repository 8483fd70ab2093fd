/** An HTTP server on ulfius. */
#pragma once

#include "core/identity/NetworkAddress.h"
#include "transport/http/HttpHandler.h"

#include <absl/status/status.h>
#include <cstddef>
#include <memory>

namespace boragetrack::transport::http {

/** Serves HTTP on one address with a thread for each connection. */
class HttpServer
{
public:
    /** The largest request body that is accepted, in bytes. */
    static constexpr std::size_t maximumBodyBytes = 1'048'576;
    /** Connections at once. */
    static constexpr unsigned int maximumConnections = 1000;

    /** @param handler outlives the server */
    HttpServer(core::identity::NetworkAddress address, HttpHandler &handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Begins to listen. @returns Unavailable when the address can not be used */
    absl::Status start();

    /** Stops listening; waits for the requests that are being handled. */
    void stop();

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace boragetrack::transport::http
