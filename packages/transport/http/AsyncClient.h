/** Asynchronous HTTP client for the traffic thread. */
#pragma once

#include "core/identity/NetworkAddress.h"
#include "transport/http/HttpRequest.h"
#include "transport/http/HttpResponse.h"
#include "transport/http/MessageReader.h"

#include <absl/status/statusor.h>
#include <chrono>
#include <functional>
#include <kj/timer.h>
#include <mutex>
#include <optional>
#include <vector>

namespace boragetrack::transport::http {

/** Sends control requests to one server over persistent connections; not used for calls. Belongs to
    the event loop of its network and timer. */
class AsyncClient
{
public:
    /** Maximum size of a response's body, in bytes. */
    static constexpr std::size_t maximumResponseBytes = std::size_t{8} * 1024 * 1024;
    /** Maximum time to connect; beyond it the server counts as unreachable. */
    static constexpr std::chrono::milliseconds connectTimeout{1000};
    /** Time after its last response for which an idle connection is used again. One that became
        silent meanwhile costs its next request the whole time-out; a new one costs a round trip. */
    static constexpr std::chrono::milliseconds maximumIdleTime{1000};

    /** Decides whether a request may be sent now. @returns nothing if it may not */
    using BeginFunction = std::function<std::optional<std::unique_lock<std::mutex>>()>;

    /** @param network and @param timer outlive the client */
    AsyncClient(kj::Network &network, kj::Timer &timer, core::identity::NetworkAddress server);
    ~AsyncClient() noexcept;
    AsyncClient(const AsyncClient &) = delete;
    AsyncClient &operator=(const AsyncClient &) = delete;

    /** Sends a request and returns its response; never rejects. After a timeout, idle connections
        that have had no response meanwhile are not used any more.
        @param timeout for the whole exchange, including the time to connect
        @param begin called once connected, immediately before the request is written; if it returns
        nothing, nothing is sent. The lock that it returns is held while the request is written, as
        far as the system takes its bytes at once
        @returns Unavailable if the server certainly did not receive the request, OutOfRange if the
        response is too large, Unknown if it was lost, invalid or late */
    kj::Promise<absl::StatusOr<HttpResponse>>
    send(HttpRequest request, std::chrono::milliseconds timeout, BeginFunction begin = {});

private:
    class Connection;
    class Exchange;
    using Result = absl::StatusOr<HttpResponse>;

    kj::Promise<kj::Own<Connection>> acquire();
    /** Closes the idle connections without a response since a time, at which an exchange began that
        got none. All may have gone silent together, and each would cost a timeout. */
    void dropIdleSince(kj::TimePoint time);

    kj::Network &network_;
    kj::Timer &timer_;
    core::identity::NetworkAddress server_;
    std::vector<kj::Own<Connection>> idleConnections_;
};

} // namespace boragetrack::transport::http
