/** HTTP server for the traffic thread. */
#pragma once

#include "core/identity/NetworkAddress.h"
#include "transport/http/ConnectionLimit.h"
#include "transport/http/ServerConnection.h"

#include <absl/status/status.h>

namespace boragetrack::transport::http {

/** Accepts connections on one address and serves each until it is closed. Used on the traffic
    thread only. */
class ServerListener final : private kj::TaskSet::ErrorHandler
{
public:
    /** Maximum number of concurrent connections, fewer if the process has less than twice as many
        descriptors; further ones wait to be accepted. */
    static constexpr std::size_t maximumConnections = 1500;
    /** Maximum size of all request bodies that are buffered at a time, in bytes. */
    static constexpr std::size_t maximumBufferedBytes = std::size_t{32} * 1024 * 1024;

    /** @param network, @param timer and @param handler outlive the listener
        @param counters outlives the listener; null to count nothing
        @param memory outlives the listener; null for no limit on what responses take */
    ServerListener(kj::Network &network, kj::Timer &timer, ExchangeHandler &handler,
                   const PipelineCounters *counters = nullptr, MemoryBudget *memory = nullptr)
        : network_(network)
        , timer_(timer)
        , handler_(handler)
        , counters_(counters)
        , memory_(memory)
        , budget_(maximumBufferedBytes, memory)
        , tasks_(*this)
    {}

    /** Starts listening. @returns Unavailable if the address can not be used */
    absl::Status listen(const core::identity::NetworkAddress &address, kj::WaitScope &scope);

    /** Stops accepting connections; those already accepted are still served. */
    void stopAccepting();

    /** Returns the number of open connections. */
    std::size_t connections() const { return connections_; }

    /** Returns the number of requests whose head has arrived in part. */
    std::size_t partialRequests() const { return partialRequests_; }

private:
    kj::Promise<void> acceptNext();
    void beginAccepting();
    void serve(kj::Own<kj::AsyncIoStream> stream);
    void taskFailed(kj::Exception &&exception) override;

    kj::Network &network_;
    kj::Timer &timer_;
    ExchangeHandler &handler_;
    const PipelineCounters *counters_;
    MemoryBudget *memory_;
    kj::Own<kj::ConnectionReceiver> receiver_;
    BufferBudget budget_;
    const ConnectionLimit limit_{maximumConnections};
    std::size_t connections_ = 0;
    std::size_t partialRequests_ = 0;
    kj::TaskSet tasks_;
    kj::Promise<void> accepting_ = nullptr;
};

} // namespace boragetrack::transport::http
