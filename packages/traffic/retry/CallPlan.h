/** The course of one call. */
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
        routing::LoadTracker &loads;
    };

    /** Takes a request whose route, service, idempotency and budget are filled in. */
    CallPlan(Shared shared, std::shared_ptr<const routing::RoutingSnapshot> snapshot,
             const routing::RouteTarget &target, calls::CallRequest request,
             std::mt19937_64 &random);

    /** Returns the first step. */
    PlanStep start(core::timing::MonotonicTime now);

    /** Returns the step after an attempt ended. */
    PlanStep handleResponse(const calls::CallResponse &answer, core::timing::MonotonicTime now);

    /** Notes that the caller went while an attempt was under way. */
    void handleCallerDisconnect() { shared_.loads.recordAbandoned(current_.node, begunAt_); }

private:
    void noteReach(const calls::CallResponse &answer, core::timing::MonotonicTime now);
    bool isTurnedAway(const calls::CallResponse &answer) const;
    PlanStep nextAttempt(core::timing::MonotonicTime now);
    PlanStep attemptAtHolder(const core::identity::NodeId &holder, core::timing::MonotonicTime now);
    PlanStep sendTo(const routing::Endpoint &endpoint, core::timing::MonotonicTime now);
    static PlanStep finish(const calls::CallResponse &answer);
    PlanStep refuseOrFinish(std::chrono::milliseconds wait, core::timing::MonotonicTime now);
    PlanStep refuse(calls::CallResponse answer, std::chrono::milliseconds wait,
                    core::timing::MonotonicTime now);
    std::vector<routing::Candidate> candidates(core::timing::MonotonicTime now) const;
    std::chrono::milliseconds returnTime(std::chrono::milliseconds wait,
                                         core::timing::MonotonicTime now);
    std::chrono::microseconds remaining(core::timing::MonotonicTime now) const;

    Shared shared_;
    std::shared_ptr<const routing::RoutingSnapshot> snapshot_;
    const routing::RouteTarget &target_;
    const control::moves::RouteShare &share_;
    calls::CallRequest request_;
    std::mt19937_64 &random_;
    core::timing::MonotonicTime deadline_{};
    core::timing::MonotonicTime objective_{};
    bool isNestedRepeat_;
    // Whether the first attempt goes to the secondary version.
    bool isTrial_ = false;
    // Attempts that may have reached an upstream, and all visits to nodes.
    int attempts_ = 0;
    int visits_ = 0;
    core::timing::MonotonicTime begunAt_{};
    bool wentToHolder_ = false;
    routing::Endpoint current_;
    std::set<core::identity::NodeId> tried_;
    // Those of them that answered that they had no room.
    std::set<core::identity::NodeId> full_;
    /** The answer to fall back on when a repeat finds no endpoint. */
    calls::CallResponse last_;
    /** The last answer of an attempt that ran or may have run, if any. */
    std::optional<calls::CallResponse> mayHaveRun_;
};

} // namespace boragetrack::traffic::retry
