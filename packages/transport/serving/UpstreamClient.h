/** The HTTP client for the node's upstream. */
#pragma once

#include "core/counters/Counter.h"
#include "core/identity/NetworkAddress.h"
#include "traffic/calls/CallRequest.h"
#include "traffic/calls/CallResponse.h"
#include "traffic/inbound/RefusedCalls.h"
#include "transport/dialect/CallDialect.h"
#include "transport/serving/UpstreamConnection.h"
#include "transport/timing/PreciseTimer.h"

#include <kj/async-io.h>
#include <kj/timer.h>
#include <vector>

namespace boragetrack::transport::serving {

/**
    Pools connections to the upstream and sends each call exactly once.

    A call is never sent again here: a client library that resends a request when a reused
    connection breaks would run a deposit twice.
*/
class UpstreamClient
{
public:
    /** Receives what the client finds out about the upstream's process. */
    class Listener
    {
    public:
        virtual ~Listener() = default;

        /** Handles that nothing listens at the upstream's address: its process has ended. */
        virtual void upstreamEnded() = 0;
    };

    /** The upstream's limit of connections, counting those of all clients. */
    static constexpr int maximumConnections = 110;
    /** The largest response body that is passed on, in bytes. */
    static constexpr std::size_t maximumResponseBytes = std::size_t{4} * 1024 * 1024;
    /** The largest size of all bodies that are buffered for the upstream at a time, in bytes. */
    static constexpr std::size_t maximumBufferedBytes = std::size_t{24} * 1024 * 1024;
    /** How many responses to other requests a call passes over before its connection is closed. */
    static constexpr int maximumForeignResponses = 4;
    /** The timeout of a connection attempt; the upstream runs on the same VM. */
    static constexpr std::chrono::milliseconds connectTimeout{300};
    /** How long an idle connection may be reused when the upstream states no timeout. */
    static constexpr std::chrono::milliseconds defaultIdleTimeout{4000};

    /** @param network, @param timer, @param dialect and @param listener outlive the client
        @param memory the budget of the process; null for none; outlives the client */
    UpstreamClient(kj::Network &network, timing::PreciseTimer &timer,
                   const dialect::CallDialect &dialect, core::counters::Counter &connectionsOpened,
                   Listener &listener, http::MemoryBudget *memory = nullptr);

    /** Sets the address that the upstream listens at; a new address drops idle connections. */
    void setAddress(const core::identity::NetworkAddress &address);

    /** Drops all idle connections, for instance after a restart of the upstream. */
    void dropIdleConnections() { idleConnections_.clear(); }

    /** Returns the budget of the bodies that are buffered for the upstream: the responses that the
        client reads, and the requests that its owner counts. */
    http::BufferBudget &bufferBudget() { return budget_; }

    /** Returns the response to a call; never rejects. Dropping the promise closes the connection,
        which makes the upstream cancel the request.
        @param request outlives the promise; its time budget is the timeout */
    kj::Promise<traffic::calls::CallResponse> send(const traffic::calls::CallRequest &request,
                                                   const UpstreamStatus &upstream);

private:
    class Exchange;
    using Connection = kj::Own<UpstreamConnection>;

    kj::Promise<Connection> acquire(const traffic::calls::CallRequest &request);
    kj::Promise<Connection> connect();
    void handleFailedConnect(const kj::Exception &exception);
    void release(Connection connection, const http::HeaderList &headers);

    kj::Network &network_;
    timing::PreciseTimer &timer_;
    const dialect::CallDialect &dialect_;
    core::identity::NetworkAddress address_;
    http::BufferBudget budget_;
    std::vector<Connection> idleConnections_;
    traffic::inbound::RefusedCalls refusedCalls_;
    // Invariant: the number of calls that have started and not ended.
    std::size_t inFlight_ = 0;
    // Invariant: the number of calls that hold a connection.
    std::size_t connectedCalls_ = 0;
    core::counters::Counter &connectionsOpened_;
    Listener &listener_;
};

} // namespace boragetrack::transport::serving
