/** The attempts of one call, without the I/O that performs them. */
#pragma once

#include "core/timing/MonotonicTime.h"
#include "traffic/retry/PlanStep.h"
#include "traffic/retry/RetryPolicy.h"
#include "traffic/routing/LoadTracker.h"
#include "traffic/routing/RoutingPolicy.h"
#include "traffic/routing/RoutingSnapshot.h"

#include <memory>
#include <optional>
#include <set>

namespace boragetrack::traffic::retry {

/**
    Decides where each attempt of a call goes, how much time it gets and how the call ends.

    The owner calls start, performs the attempt that it returns and passes the result to
    handleResponse, until a step is a response for the caller. A request that is not idempotent is
    never sent again after an attempt that may have run, and the call ends as NotRun only when no
    attempt may have run.
*/
class CallPlan
{
public:
    /** The policies and the load data that all calls of a node share. */
    struct Dependencies
    {
        routing::RoutingPolicy &routing;
        RetryPolicy &retries;
        routing::LoadTracker &loads;
    };

    /** @param target the route's target; belongs to the snapshot
        @param request with route, service, idempotency, objective and budget set
        @param random must outlive this object */
    CallPlan(Dependencies dependencies, std::shared_ptr<const routing::RoutingSnapshot> snapshot,
             const routing::RouteTarget &target, calls::CallRequest request,
             std::mt19937_64 &random);

    /** Returns the first step; the budget and the objective count from now. */
    PlanStep start(core::timing::MonotonicTime now);

    /** Returns the step that follows the response to the last attempt. */
    PlanStep handleResponse(const calls::CallResponse &response, core::timing::MonotonicTime now);

    /** Handles a disconnect of the caller during an attempt; no step follows. */
    void handleCallerDisconnect()
    {
        dependencies_.loads.recordAbandoned(current_.node, startedAt_);
    }

private:
    void recordReachability(const calls::CallResponse &response, core::timing::MonotonicTime now);
    bool isRefusedBeforeUpstream(const calls::CallResponse &response) const;
    PlanStep nextAttempt(core::timing::MonotonicTime now);
    PlanStep attemptAtHolder(const core::identity::NodeId &holder, core::timing::MonotonicTime now);
    PlanStep sendTo(const routing::Endpoint &endpoint, core::timing::MonotonicTime now);
    static PlanStep finish(const calls::CallResponse &response);
    PlanStep refuseOrFinish(std::chrono::milliseconds wait, core::timing::MonotonicTime now);
    PlanStep refuse(calls::CallResponse response, std::chrono::milliseconds wait,
                    core::timing::MonotonicTime now);
    std::vector<routing::Candidate> candidates(core::timing::MonotonicTime now) const;
    std::chrono::milliseconds retryDelay(std::chrono::milliseconds wait,
                                         core::timing::MonotonicTime now);
    std::chrono::microseconds remaining(core::timing::MonotonicTime now) const;

    Dependencies dependencies_;
    std::shared_ptr<const routing::RoutingSnapshot> snapshot_;
    const routing::RouteTarget &target_;
    const control::moves::RouteShare &share_;
    calls::CallRequest request_;
    std::mt19937_64 &random_;
    core::timing::MonotonicTime deadline_{};
    core::timing::MonotonicTime objective_{};
    bool isNestedInRetry_;
    // Whether the first attempt prefers the secondary version.
    bool startsAtSecondary_ = false;
    // Attempts that may have reached an upstream.
    int attempts_ = 0;
    // All requests sent to nodes, including those that a node refused.
    int requestsSent_ = 0;
    core::timing::MonotonicTime startedAt_{};
    bool triedHolder_ = false;
    routing::Endpoint current_;
    // Invariant: all nodes that this call was sent to.
    std::set<core::identity::NodeId> tried_;
    // Invariant: the nodes in tried_ that refused the call before their upstream got it, mostly
    // because their queue was full.
    std::set<core::identity::NodeId> refusedBy_;
    // The response that ends the call when there is no endpoint for a further attempt.
    calls::CallResponse lastResponse_;
    // The last response of an attempt that ran or may have run.
    std::optional<calls::CallResponse> mayHaveRun_;
};

} // namespace boragetrack::traffic::retry
