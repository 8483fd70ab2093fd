/** HTTP connection of one simulated caller. */
#pragma once

#include "core/identity/NetworkAddress.h"
#include "transport/http/HttpRequest.h"
#include "transport/http/HttpResponse.h"

#include <chrono>
#include <kj/async-io.h>
#include <kj/compat/http.h>
#include <optional>

namespace boragetrack::standins::load {

/** Sends requests sequentially over a keep-alive connection, without retries, on one thread. */
class CallerConnection
{
public:
    /** @param io the event loop of the calling thread; must outlive this object */
    explicit CallerConnection(kj::AsyncIoContext &io)
        : io_(io)
        , headerTable_(kj::HttpHeaderTable::Builder().build())
    {}

    /** Connects unless already connected to the server; closes a connection to another address.
        @returns false if the connection failed; nothing has been sent then */
    bool connect(const core::identity::NetworkAddress &server);

    /** Sends a GET, or any other method as a POST, and waits for the response.
        @param timeout limits the time until the whole response has arrived
        @returns the response, or nothing if the connection was closed or the timeout passed; the
        request may have run in that case */
    std::optional<transport::http::HttpResponse> send(const transport::http::HttpRequest &request,
                                                      std::chrono::milliseconds timeout);

    /** Closes the connection, so that the next call to connect() opens a new one. */
    void close();

private:
    kj::AsyncIoContext &io_;
    kj::Own<kj::HttpHeaderTable> headerTable_;
    core::identity::NetworkAddress server_;
    kj::Own<kj::AsyncIoStream> stream_;
    kj::Own<kj::HttpClient> client_;
};

} // namespace boragetrack::standins::load
