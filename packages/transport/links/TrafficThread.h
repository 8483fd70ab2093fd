/** The thread that carries all traffic: of callers, between nodes and to the upstream. */
#pragma once

#include "control/distribution/PeerTransport.h"
#include "core/concurrency/Published.h"
#include "core/counters/CounterRegistry.h"
#include "traffic/admission/AdmissionPolicy.h"
#include "traffic/routing/RoutingSnapshot.h"
#include "transport/callers/CallerServer.h"
#include "transport/dialect/CallDialect.h"
#include "transport/links/LoopComponent.h"
#include "transport/links/PeerEventSink.h"
#include "transport/links/PeerRequestHandler.h"
#include "transport/links/TaskQueue.h"
#include "transport/serving/InboundProxy.h"
#include "transport/serving/UpstreamStatus.h"

#include <absl/status/status.h>
#include <future>
#include <memory>
#include <optional>
#include <thread>

namespace boragetrack::transport::links {

/** Runs the event loop with the callers' listener, the peer listener, the links, the serving side
    of a node and further parts. */
class TrafficThread : public control::distribution::PeerTransport
{
public:
    /** What a link thread is made of; all references outlive it. */
    struct Dependencies
    {
        core::identity::NodeId self;
        core::identity::NodeId process;
        core::identity::NetworkAddress listen;
        core::identity::NetworkAddress callers;
        /** The service on this node's VM, for upstreams that want to know who calls. */
        core::identity::ServiceName service;
        const dialect::CallDialect &dialect;
        PeerRequestHandler &requests;
        PeerEventSink &events;
        const core::concurrency::Published<traffic::routing::RoutingSnapshot> &routing;
        std::unique_ptr<traffic::admission::AdmissionPolicy> admission;
        traffic::routing::RoutingPolicy &routingPolicy;
        traffic::retry::RetryPolicy &retryPolicy;
        /** Further parts that work on the loop. */
        std::vector<LoopComponent *> loopComponents;
        serving::InboundProxy::EvidenceSink evidence;
        core::counters::CounterRegistry &counters;
    };

    explicit TrafficThread(Dependencies parts);
    ~TrafficThread() noexcept override;

    /** Starts the thread and its listener. @returns Unavailable when the address is in use */
    absl::Status start();

    /** Ends the thread; calls under way are answered as unknown. */
    void stop();

    //==============================================================================
    /** Passes on what is known of the upstream beside this node. */
    void setUpstream(const std::optional<serving::UpstreamStatus> &status);

    /** Closes callers' connections after their next answer, and refuses new calls as not run once
        a time has passed. */
    void beginCallerDrain(std::chrono::milliseconds servingTime);

    /** Waits until new calls are refused and no caller waits for an answer, accepts no further
        connection and lets those just accepted get their answer.
        @returns whether that came within the time */
    bool awaitCallerDrain(std::chrono::milliseconds timeout);

    /** Refuses new calls for the upstream and waits until those taken are answered.
        @returns whether all were answered within the time */
    bool drain(std::chrono::milliseconds timeout);

    /** Runs a task on the loop. @returns false when the loop has ended */
    bool post(TaskQueue::Task task) { return taskQueue_.post(std::move(task)); }

    //==============================================================================
    void sendExchange(const control::distribution::PeerContact &peer,
                      const control::distribution::Exchange &exchange) override;
    void pushIntent(const control::distribution::PeerContact &peer,
                    const control::distribution::IntentTransfer &transfer) override;
    void fetchIntent(const control::distribution::PeerContact &peer,
                     core::identity::Revision have) override;
    void fetchMembers(const control::distribution::PeerContact &peer,
                      const control::membership::MemberTable::BucketHashes &hashes) override;

private:
    class Loop;

    void run(std::promise<absl::Status> started);

    Dependencies parts_;
    TaskQueue taskQueue_;
    // Set while the loop runs; used on the link thread only.
    Loop *loop_ = nullptr;
    std::thread thread_;
};

} // namespace boragetrack::transport::links
