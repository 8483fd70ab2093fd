/** The event loop that carries the traffic. */
#pragma once

#include "transport/callers/CallerServer.h"
#include "transport/http/ServerListener.h"
#include "transport/links/CallSender.h"
#include "transport/links/LinkCounters.h"
#include "transport/links/LinkListener.h"
#include "transport/links/LoopMonitor.h"
#include "transport/links/PeerLinks.h"
#include "transport/links/TrafficDependencies.h"
#include "transport/timing/PreciseTimer.h"

#include <absl/status/status.h>
#include <chrono>
#include <kj/async-io.h>
#include <vector>

namespace boragetrack::transport::links {

/** Owns the objects that use the event loop: listeners, links, the inbound proxy and the callers'
    server. Created, used and destroyed on the traffic thread. */
class TrafficLoop : private CallSender, private kj::TaskSet::ErrorHandler
{
public:
    /** @param dependencies the admission policy is moved out of it */
    TrafficLoop(TrafficDependencies &dependencies, kj::AsyncIoContext &io);
    ~TrafficLoop() noexcept override;
    TrafficLoop(const TrafficLoop &) = delete;
    TrafficLoop &operator=(const TrafficLoop &) = delete;

    /** Starts the listeners and the components. @returns Unavailable if an address is in use, or
        the failure of a component */
    absl::Status start(const TrafficDependencies &dependencies, kj::AsyncIoContext &io);

    /** Runs a promise to completion. A failure is not reported; it shows as a missing response. */
    void add(kj::Promise<void> task);

    PeerLinks &links() { return links_; }
    serving::InboundProxy &inbound() { return inbound_; }

    /** Begins to close callers' connections after their next response.
        @param gracePeriod time until new calls are refused as not run */
    void beginCallerDrain(std::chrono::milliseconds gracePeriod);

    /** Returns whether no caller waits for a response, as soon as none does or at the limit. */
    kj::Promise<bool> whenCallersDrained(kj::TimePoint limit);

    /** Stops accepting callers' connections, and waits for requests on the last ones and for the
        rest of those whose head has arrived in part.
        @returns whether no caller waits for a response at the limit */
    kj::Promise<bool> stopAcceptingCallers(kj::TimePoint limit);

    /** Returns whether no call to the upstream is in progress, as soon as none is or at the
        limit. */
    kj::Promise<bool> whenDrained(kj::TimePoint limit);

    /** Stops accepting links and asks the peers to close theirs; the node's own links to them stay
       in use. @returns whether all peers closed their links, as soon as they did or at the limit */
    kj::Promise<bool> closeLinks(kj::TimePoint limit);

    /** Returns the time on the loop's clock after a duration. */
    kj::TimePoint after(std::chrono::milliseconds time);

private:
    kj::Promise<traffic::calls::CallResponse>
    send(const core::identity::NodeId &node, const core::identity::NetworkAddress &address,
         const traffic::calls::CallRequest &request) override;
    void compareIntents(const core::identity::NodeId &node,
                        const core::identity::NetworkAddress &address,
                        const traffic::calls::CallResponse &response);
    kj::Promise<bool> whenLastRequestsAnswered(kj::TimePoint limit);
    kj::Promise<void> recordTicks();
    LinkEncoding encodingFor(const core::identity::NetworkAddress &address) const;
    void taskFailed(kj::Exception &&exception) override;

    timing::PreciseTimer timer_;
    LoopMonitor monitor_;
    LinkCounters counters_;
    PeerEventSink &eventSink_;
    const core::concurrency::Published<traffic::routing::RoutingSnapshot> &routing_;
    // The latest intent of a peer that was reported to the control thread.
    core::identity::Revision seenIntent_;
    http::MemoryBudget memory_;
    PeerLinks links_;
    serving::InboundProxy inbound_;
    callers::CallerServer callers_;
    http::PipelineCounters pipelineCounters_;
    http::ServerListener callerListener_;
    LinkListener linkListener_;
    core::identity::NodeId self_;
    std::vector<LoopComponent *> components_;
    kj::TaskSet tasks_;
};

} // namespace boragetrack::transport::links
