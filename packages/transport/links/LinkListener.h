/** Listener for the links that peers open. */
#pragma once

#include "core/identity/NetworkAddress.h"
#include "transport/links/ClosingNotice.h"
#include "transport/links/LinkCounters.h"
#include "transport/links/PeerServer.h"

#include <absl/status/status.h>
#include <chrono>
#include <kj/async-io.h>
#include <kj/timer.h>

namespace boragetrack::transport::links {

/** Accepts links on one address and serves each until its peer closes it. Used on the traffic
   thread only. */
class LinkListener final : private kj::TaskSet::ErrorHandler
{
public:
    /** Interval at which the end of the last links is checked. */
    static constexpr std::chrono::milliseconds closeCheckInterval{20};
    /** Delay before links are accepted again after a failure. */
    static constexpr std::chrono::milliseconds acceptRetryDelay{20};

    /** @param network, @param timer, @param control and @param calls outlive the listener
        @param memory the budget of the process; null for none; outlives the listener */
    LinkListener(kj::Network &network, kj::Timer &timer, PeerRequestHandler &control,
                 CallServer &calls, LinkCounters counters, http::MemoryBudget *memory = nullptr)
        : network_(network)
        , timer_(timer)
        , counters_(counters)
        , control_(control)
        , calls_(calls)
        , memory_(memory)
        , tasks_(*this)
    {}

    /** Starts listening. @returns Unavailable if the address can not be used */
    absl::Status listen(const core::identity::NetworkAddress &address, kj::WaitScope &scope);

    /** Stops accepting links and asks the peers to close theirs; requests that arrive meanwhile are
        still served.
        @returns whether all links were closed by their peers, as soon as they are or at the
        limit */
    kj::Promise<bool> closeLinks(kj::TimePoint limit);

    /** Returns the port that is listened on. */
    std::uint16_t port() { return static_cast<std::uint16_t>(receiver_->getPort()); }

private:
    void beginAccepting();
    kj::Promise<void> acceptNext();
    // Accepts the connections that wait already, which would be reset with the listener.
    kj::Promise<void> acceptWaiting();
    kj::Promise<bool> whenLinksClosed(kj::TimePoint limit);
    void serve(kj::Own<kj::AsyncIoStream> accepted);
    kj::Promise<void> serveRpc(kj::Own<kj::AsyncIoStream> stream);
    void taskFailed(kj::Exception &&exception) override;

    kj::Network &network_;
    kj::Timer &timer_;
    LinkCounters counters_;
    PeerRequestHandler &control_;
    CallServer &calls_;
    http::MemoryBudget *memory_;
    ClosingNotice closing_;
    kj::Own<kj::ConnectionReceiver> receiver_;
    // Accepted links that are not closed yet.
    std::size_t openLinks_ = 0;
    bool isClosing_ = false;
    kj::TaskSet tasks_;
    kj::Promise<void> accepting_ = nullptr;
};

} // namespace boragetrack::transport::links
