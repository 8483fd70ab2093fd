/** One caller's connection. */
#pragma once

#include "core/identity/NetworkAddress.h"
#include "transport/http/HttpRequest.h"
#include "transport/http/HttpResponse.h"

#include <chrono>
#include <kj/async-io.h>
#include <kj/compat/http.h>
#include <optional>

namespace boragetrack::standins::load {

/** Sends requests one after the other over a keep-alive connection and never repeats any. */
class CallerConnection
{
public:
    explicit CallerConnection(kj::AsyncIoContext &io)
        : io_(io)
        , headerTable_(kj::HttpHeaderTable::Builder().build())
    {}

    /** Connects if needed. @returns false when nobody listens; nothing was sent then */
    bool connect(const core::identity::NetworkAddress &target);

    /** Returns the response, or nothing when the connection broke or the time was over. */
    std::optional<transport::http::HttpResponse> send(const transport::http::HttpRequest &request,
                                                      std::chrono::milliseconds timeout);

    /** Closes the connection. */
    void close();

private:
    kj::AsyncIoContext &io_;
    kj::Own<kj::HttpHeaderTable> headerTable_;
    core::identity::NetworkAddress server_;
    kj::Own<kj::AsyncIoStream> stream_;
    kj::Own<kj::HttpClient> client_;
};

} // namespace boragetrack::standins::load
