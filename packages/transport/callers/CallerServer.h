/** The outbound side of a node, which accepts requests from callers. */
#pragma once

#include "core/concurrency/Published.h"
#include "core/counters/CounterRegistry.h"
#include "core/counters/LatencyCounters.h"
#include "core/timing/PauseDetector.h"
#include "traffic/access/KeyFreshness.h"
#include "traffic/calls/RunningCalls.h"
#include "traffic/retry/CallPlan.h"
#include "traffic/routing/RoutingSnapshot.h"
#include "transport/callers/ReachabilityLog.h"
#include "transport/dialect/CallDialect.h"
#include "transport/http/ExchangeHandler.h"
#include "transport/links/CallSender.h"

#include <random>

namespace boragetrack::transport::callers {

/** Performs the attempts that a CallPlan decides for each request and writes the response to the
    caller. Used on the traffic thread only. */
class CallerServer : public http::ExchangeHandler
{
public:
    /** The collaborators of a caller server; all references outlive it. */
    struct Dependencies
    {
        const core::concurrency::Published<traffic::routing::RoutingSnapshot> &routing;
        const dialect::CallDialect &dialect;
        links::CallSender &sender;
        traffic::routing::RoutingPolicy &routingPolicy;
        traffic::retry::RetryPolicy &retryPolicy;
        /** The calls that the node's upstream is running. */
        traffic::calls::RunningCalls &runningCalls;
        /** The service on this node's VM. */
        core::identity::ServiceName service;
        const core::timing::PauseDetector &pauses;
        const traffic::access::KeyFreshness &keyFreshness;
        /** When the store last confirmed the keys. */
        const core::concurrency::Published<traffic::access::StoreContactTime> &storeContact;
        core::counters::CounterRegistry &counters;
    };

    explicit CallerServer(Dependencies dependencies);

    kj::Promise<void> handle(http::ServerExchange &exchange) override;
    http::ServerLimits limits() const override;

    /** Closes each connection after its next response. */
    void beginDrain() { isStopping_ = true; }

    /** Refuses all further calls as not run. */
    void refuseCalls() { refusesCalls_ = true; }

    /** Handles the end of the event loop: calls that are destroyed from now on are cut. */
    void handleLoopEnd() { hasLoopEnded_ = true; }

    /** Returns whether new calls are refused and all earlier ones have ended. */
    bool isDrained() const { return refusesCalls_ && activeCalls_ == 0; }

private:
    class Call;

    Dependencies dependencies_;
    traffic::routing::LoadTracker loads_;
    ReachabilityLog reachabilityLog_;
    std::mt19937_64 random_{std::random_device{}()};
    bool isStopping_ = false;
    bool refusesCalls_ = false;
    bool hasLoopEnded_ = false;
    // Invariant: the number of calls that have started and not ended.
    int activeCalls_ = 0;
    core::counters::Counter &calls_;
    core::counters::Counter &attempts_;
    core::counters::Counter &refusals_;
    core::counters::Counter &unknowns_;
    core::counters::Counter &accessRefusals_;
    core::counters::Counter &callersLeft_;
    core::counters::Counter &cutCalls_;
    core::counters::Counter &crossDataCentreBytes_;
    core::counters::LatencyCounters latencies_;
};

} // namespace boragetrack::transport::callers
