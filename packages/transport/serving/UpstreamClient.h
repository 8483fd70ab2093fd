/** Sends calls to the upstream. */
#pragma once

#include "core/identity/NetworkAddress.h"
#include "traffic/calls/CallAnswer.h"
#include "traffic/calls/CallRequest.h"
#include "transport/serving/UpstreamConnection.h"

#include <kj/async-io.h>
#include <kj/compat/http.h>
#include <kj/timer.h>
#include <vector>

namespace boragetrack::transport::serving {

/**
    Keeps keep-alive connections to the upstream beside this node; lives on the link thread.

    A request is written to one connection once and never again, whatever happens to it: whether it
    may be repeated is decided elsewhere, from the outcome reported here.
*/
class UpstreamClient
{
public:
    /** Connections at once that an upstream accepts. */
    static constexpr int maximumConnections = 110;
    /** The largest answer that is passed on, in bytes. */
    static constexpr std::uint64_t maximumAnswerBytes = 4'194'304;

    UpstreamClient(kj::Network &network, kj::Timer &timer);

    /** Sets the upstream's address and drops idle connections to a former one. */
    void setAddress(const core::identity::NetworkAddress &address);

    /** Drops idle connections, which lead to a process that is gone. */
    void forgetConnections() { idle_.clear(); }

    /** Returns the answer to a call; never rejects. Dropping the promise closes the connection,
        which tells the upstream to cancel. */
    kj::Promise<traffic::calls::CallAnswer> send(const traffic::calls::CallRequest &request);

private:
    using Connection = kj::Own<UpstreamConnection>;

    /** Counts a connection as open for the length of a scope. */
    class ScopedSlot;

    kj::Promise<Connection> acquire();
    kj::Promise<traffic::calls::CallAnswer> sendOver(Connection connection,
                                                     const traffic::calls::CallRequest &request);
    kj::Promise<traffic::calls::CallAnswer> receive(kj::HttpClient::Response &response);
    kj::HttpHeaders headersOf(const traffic::calls::CallRequest &request) const;

    kj::Network &network_;
    kj::Timer &timer_;
    kj::Own<kj::HttpHeaderTable> headerTable_;
    core::identity::NetworkAddress address_;
    std::vector<Connection> idle_;
    // Invariant: at most maximumConnections, idle ones not counted.
    int busy_ = 0;
};

} // namespace boragetrack::transport::serving
