/** Sends calls to the upstream beside this node. */
#pragma once

#include "core/counters/Counter.h"
#include "core/identity/NetworkAddress.h"
#include "traffic/calls/CallRequest.h"
#include "traffic/calls/CallResponse.h"
#include "transport/dialect/CallDialect.h"
#include "transport/serving/UpstreamConnection.h"

#include <kj/async-io.h>
#include <kj/timer.h>
#include <vector>

namespace boragetrack::transport::serving {

/**
    Keeps connections to the upstream and sends each call exactly once.

    A call is never sent again here: a client library that repeats a request when a reused
    connection breaks would run a deposit twice.
*/
class UpstreamClient
{
public:
    /** The upstream's limit of connections from all sides. */
    static constexpr int maximumConnections = 110;
    /** The largest answer that is passed on, in bytes. */
    static constexpr std::size_t maximumResponseBytes = std::size_t{4} * 1024 * 1024;
    /** The time to connect; the upstream runs on the same VM. */
    static constexpr std::chrono::milliseconds connectTimeout{300};
    /** How long an idle connection is used again when the upstream does not say. */
    static constexpr std::chrono::milliseconds defaultIdleTimeout{4000};

    /** @param network, @param timer and @param dialect outlive the client */
    UpstreamClient(kj::Network &network, kj::Timer &timer, const dialect::CallDialect &dialect,
                   core::counters::Counter &connectionsOpened);

    /** Sets where the upstream listens; connections to a former address are dropped. */
    void setAddress(const core::identity::NetworkAddress &address);

    /** Drops all idle connections, for instance after a restart of the upstream. */
    void dropIdleConnections() { idle_.clear(); }

    /** Returns the answer to a call; never rejects. Dropping the promise closes the connection,
        which tells the upstream to stop. */
    kj::Promise<traffic::calls::CallResponse> send(const traffic::calls::CallRequest &request,
                                                   const UpstreamStatus &upstream);

private:
    class ScopedSlot;
    class Exchange;
    using Connection = kj::Own<UpstreamConnection>;

    kj::Promise<Connection> acquire();
    kj::Promise<Connection> connect();
    void release(Connection connection, const http::HeaderList &headers);

    kj::Network &network_;
    kj::Timer &timer_;
    const dialect::CallDialect &dialect_;
    core::identity::NetworkAddress address_;
    std::vector<Connection> idle_;
    // Invariant: calls that were begun and have not ended.
    int busy_ = 0;
    core::counters::Counter &connectionsOpened_;
};

} // namespace boragetrack::transport::serving
