/** Takes callers' requests. */
#pragma once

#include "core/concurrency/Published.h"
#include "core/counters/CounterRegistry.h"
#include "daemon/frontends/ActiveCalls.h"
#include "traffic/retry/CallPlan.h"
#include "traffic/routing/RoutingSnapshot.h"
#include "transport/http/HttpHandler.h"
#include "transport/links/LinkThread.h"

#include <atomic>

namespace boragetrack::daemon::frontends {

/** Turns HTTP requests into calls, carries out their plans and tells callers the outcome. */
class CallerHandler : public transport::http::HttpHandler
{
public:
    /** What the handler works with; all references outlive it. */
    struct Parts
    {
        const core::concurrency::Published<traffic::routing::RoutingSnapshot> &routing;
        transport::links::LinkThread &links;
        traffic::routing::RoutingPolicy &routingPolicy;
        traffic::retry::RetryPolicy &retryPolicy;
        core::counters::CounterRegistry &counters;
    };

    explicit CallerHandler(Parts parts);

    transport::http::HttpResponse handle(const transport::http::HttpRequest &request) override;

    /** Refuses new calls as not run from here on. */
    void refuseNewCalls() { isStopping_ = true; }

    /** Returns the calls under way. */
    ActiveCalls &activeCalls() { return activeCalls_; }

private:
    transport::http::HttpResponse execute(const transport::http::HttpRequest &request);
    traffic::calls::CallAnswer run(traffic::retry::CallPlan &plan);

    Parts parts_;
    traffic::routing::LoadBoard loads_;
    ActiveCalls activeCalls_;
    std::atomic<bool> isStopping_{false};
    core::counters::Counter &calls_;
    core::counters::Counter &attempts_;
    core::counters::Counter &refusals_;
    core::counters::Counter &unknowns_;
};

} // namespace boragetrack::daemon::frontends
