/** The callers' side of a node. */
#pragma once

#include "core/concurrency/Published.h"
#include "core/counters/CounterRegistry.h"
#include "core/counters/LatencyCounters.h"
#include "traffic/calls/RunningCalls.h"
#include "traffic/retry/CallPlan.h"
#include "traffic/routing/RoutingSnapshot.h"
#include "transport/callers/ReachabilityLog.h"
#include "transport/dialect/CallDialect.h"
#include "transport/http/ExchangeHandler.h"
#include "transport/links/CallSender.h"

#include <random>

namespace boragetrack::transport::callers {

/** Takes callers' requests, performs the attempts that a CallPlan decides and hands back the
    answer; lives on the traffic thread. */
class CallerServer : public http::ExchangeHandler
{
public:
    /** What a caller server works with; all references outlive it. */
    struct Dependencies
    {
        const core::concurrency::Published<traffic::routing::RoutingSnapshot> &routing;
        const dialect::CallDialect &dialect;
        links::CallSender &sender;
        traffic::routing::RoutingPolicy &routingPolicy;
        traffic::retry::RetryPolicy &retryPolicy;
        /** What the upstream beside this node runs. */
        const traffic::calls::RunningCalls &running;
        /** The service on this node's VM. */
        core::identity::ServiceName service;
        core::counters::CounterRegistry &counters;
    };

    explicit CallerServer(Dependencies parts);

    kj::Promise<void> handle(http::ServerExchange &exchange) override;
    http::ServerLimits limits() const override;

    /** Closes connections after their next answer from here on. */
    void beginStop() { isStopping_ = true; }

    /** Refuses new calls as not run from here on. */
    void refuseCalls() { refusesCalls_ = true; }

    /** Returns whether new calls are refused and all earlier ones were answered. */
    bool isDrained() const { return refusesCalls_ && activeCalls_ == 0; }

private:
    class Call;

    Dependencies dependencies_;
    traffic::routing::LoadTracker loads_;
    ReachabilityLog reachLog_;
    std::mt19937_64 random_{std::random_device{}()};
    bool isStopping_ = false;
    bool refusesCalls_ = false;
    // Invariant: not negative.
    int activeCalls_ = 0;
    core::counters::Counter &calls_;
    core::counters::Counter &attempts_;
    core::counters::Counter &refusals_;
    core::counters::Counter &unknowns_;
    core::counters::Counter &bytesToOthers_;
    core::counters::LatencyCounters latencies_;
};

} // namespace boragetrack::transport::callers
