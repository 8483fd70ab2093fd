/** The course of one call. */
#pragma once

#include "core/timing/MonotonicTime.h"
#include "traffic/retry/PlanStep.h"
#include "traffic/retry/RetryPolicy.h"
#include "traffic/routing/LoadBoard.h"
#include "traffic/routing/RoutingPolicy.h"
#include "traffic/routing/RoutingSnapshot.h"

#include <memory>
#include <set>

namespace boragetrack::traffic::retry {

/**
    Decides the attempts of one call: where each goes, how long it may take and what the caller is
    told at the end. The owner performs the attempts and hands their outcomes back.
*/
class CallPlan
{
public:
    /** The policies and the loads that all calls of a node share. */
    struct Shared
    {
        routing::RoutingPolicy &routing;
        RetryPolicy &retries;
        routing::LoadBoard &loads;
    };

    /** Takes a request whose route, service, idempotency and budget are filled in. */
    CallPlan(Shared shared, std::shared_ptr<const routing::RoutingSnapshot> snapshot,
             const routing::RouteTarget &target, calls::CallRequest request,
             std::mt19937_64 &random);

    /** Returns the first step. */
    PlanStep start(core::timing::MonotonicTime now);

    /** Returns the step after an attempt ended. */
    PlanStep attemptEnded(const calls::CallAnswer &answer, core::timing::MonotonicTime now);

private:
    PlanStep nextAttempt(core::timing::MonotonicTime now);
    PlanStep attemptAtHolder(const core::identity::NodeId &holder, core::timing::MonotonicTime now);
    PlanStep sendTo(const routing::Endpoint &endpoint, core::timing::MonotonicTime now);
    PlanStep finish(const calls::CallAnswer &answer) const;
    std::vector<routing::Candidate> candidates(core::timing::MonotonicTime now) const;
    std::chrono::microseconds remaining(core::timing::MonotonicTime now) const;

    Shared shared_;
    std::shared_ptr<const routing::RoutingSnapshot> snapshot_;
    const routing::RouteTarget &target_;
    const control::moves::RouteShare &share_;
    calls::CallRequest request_;
    std::mt19937_64 &random_;
    core::timing::MonotonicTime deadline_{};
    bool isNestedRepeat_;
    // Whether the first attempt goes to the secondary version.
    bool isTrial_ = false;
    int attempts_ = 0;
    bool wentToHolder_ = false;
    routing::Endpoint current_;
    std::set<core::identity::NodeId> tried_;
    /** The answer to fall back on when a repeat finds no endpoint. */
    calls::CallAnswer last_;
};

} // namespace boragetrack::traffic::retry
