/** The state machine of a call: on each response it ends the call, follows the claim to its holder,
    offers the call to another endpoint, or asks the retry policy for a further attempt. */
#include "traffic/retry/CallPlan.h"

#include "traffic/calls/CallSize.h"

#include <algorithm>

namespace boragetrack::traffic::retry {

namespace {

// A refusal ends the call after this many requests to nodes, since each one costs a round trip.
constexpr int maximumRequests = 4;
// The retry delay of a refused caller is at most this fraction of the remaining time.
constexpr int retryDelayDivisor = 3;
constexpr std::chrono::milliseconds minimumRetryDelay{20};

} // namespace

using calls::CallOutcome;
using calls::CallResponse;
using core::timing::MonotonicTime;
using routing::Candidate;
using routing::Endpoint;

CallPlan::CallPlan(Dependencies dependencies,
                   std::shared_ptr<const routing::RoutingSnapshot> snapshot,
                   const routing::RouteTarget &target, calls::CallRequest request,
                   std::mt19937_64 &random)
    : dependencies_(dependencies)
    , snapshot_(std::move(snapshot))
    , target_(target)
    , share_(target.shareOf(request.service))
    , request_(std::move(request))
    , random_(random)
    , isNestedInRetry_(request_.attempt > 1)
{}

PlanStep CallPlan::start(MonotonicTime now)
{
    deadline_ = now + request_.budget;
    objective_ = now + request_.objective;
    dependencies_.retries.recordFirstAttempt(request_.service, now);
    startsAtSecondary_
            = std::uniform_real_distribution<>(0.0, 100.0)(random_) < share_.secondaryPercent;
    lastResponse_ = CallResponse::notRun("no upstream of service '" + request_.service.value()
                                         + "' accepts new calls");
    return nextAttempt(now);
}

PlanStep CallPlan::handleResponse(const CallResponse &response, MonotonicTime now)
{
    dependencies_.loads.recordResponse(current_.node, request_.route, response, startedAt_, now);
    recordReachability(response, now);
    if (response.outcome == CallOutcome::Completed)
        dependencies_.loads.recordSize(request_.route,
                                       calls::sizeOf(request_) + calls::sizeOf(response));
    if (response.outcome == CallOutcome::Claimed)
        return attemptAtHolder(response.claimHolder, now);
    if (response.outcome == CallOutcome::Completed && !response.isFailure())
        return finish(response);
    lastResponse_ = response;
    if (response.outcome != CallOutcome::NotRun)
        mayHaveRun_ = response;
    // The response of the claim holder is final: another node must not run a request that the
    // holder may have run.
    if (triedHolder_)
        return finish(response);
    // Other upstreams of the service would refuse as well. This node fetches the change meanwhile.
    if (response.isOutdated && response.outcome == CallOutcome::NotRun)
        return refuse(response, std::chrono::milliseconds::zero(), now);
    if (isRefusedBeforeUpstream(response)) {
        if (response.hasReachedNode())
            refusedBy_.insert(current_.node);
        if (requestsSent_ >= maximumRequests || remaining(now).count() <= 0)
            return refuse(response, response.retryAfter.value_or(std::chrono::milliseconds::zero()),
                          now);
        return nextAttempt(now);
    }
    ++attempts_;
    RetryContext context;
    context.response = &response;
    context.service = request_.service;
    context.isIdempotent = request_.isIdempotent;
    context.attempts = attempts_;
    context.attemptLimit = target_.entry.settings.attemptLimit;
    context.budgetPercent = target_.entry.settings.retryBudgetPercent;
    context.nodes = static_cast<int>(snapshot_->members->registrars.size());
    context.isNestedInRetry = isNestedInRetry_;
    context.remaining = remaining(now);
    if (!dependencies_.retries.mayRetry(context, now))
        return response.outcome == CallOutcome::NotRun
                       ? refuse(response, std::chrono::milliseconds::zero(), now)
                       : finish(response);
    return nextAttempt(now);
}

void CallPlan::recordReachability(const CallResponse &response, MonotonicTime now)
{
    if (response.hasReachedNode())
        dependencies_.loads.reachability().recordResponse(current_.dataCentre);
    else if (current_.dataCentre != snapshot_->dataCentre)
        dependencies_.loads.reachability().recordFailure(current_.dataCentre, current_.node,
                                                         now - startedAt_, now);
}

// Returns whether a node refused the call before its upstream got it; such a call goes to another
// endpoint without using up an attempt.
bool CallPlan::isRefusedBeforeUpstream(const CallResponse &response) const
{
    return response.outcome == CallOutcome::NotRun && !response.reachedUpstream;
}

PlanStep CallPlan::nextAttempt(MonotonicTime now)
{
    const std::vector<Candidate> found = candidates(now);
    if (found.empty())
        return refuseOrFinish(std::chrono::milliseconds::zero(), now);
    const routing::CallRequirements requirements{
            request_.rank(),
            std::chrono::duration_cast<std::chrono::microseconds>(objective_ - now), remaining(now),
            request_.isIdempotent};
    const auto choice = dependencies_.routing.choose(found, requirements, random_);
    if (choice.index)
        return sendTo(*found[*choice.index].endpoint, now);
    if (requestsSent_ == 0)
        lastResponse_ = CallResponse::notRun("no upstream can respond in time");
    return refuseOrFinish(choice.shortestWait, now);
}

PlanStep CallPlan::refuseOrFinish(std::chrono::milliseconds wait, MonotonicTime now)
{
    return lastResponse_.outcome == CallOutcome::NotRun ? refuse(lastResponse_, wait, now)
                                                        : finish(lastResponse_);
}

PlanStep CallPlan::attemptAtHolder(const core::identity::NodeId &holder, MonotonicTime now)
{
    for (const routing::Registrar &registrar : snapshot_->members->registrars) {
        if (registrar.process == holder && !triedHolder_) {
            triedHolder_ = true;
            return sendTo(Endpoint{registrar.node, registrar.address, registrar.dataCentre,
                                   request_.version, 1, 1.0, false},
                          now);
        }
    }
    return finish(CallResponse::unknown("the node that holds the request's claim is unreachable"));
}

PlanStep CallPlan::sendTo(const Endpoint &endpoint, MonotonicTime now)
{
    current_ = endpoint;
    startedAt_ = now;
    tried_.insert(endpoint.node);
    ++requestsSent_;
    request_.version = endpoint.version;
    if (const auto *service = snapshot_->intent->service(request_.service))
        request_.coldRate = service->coldRate;
    SendAttempt step{endpoint, request_};
    step.request.attempt = isNestedInRetry_ ? request_.attempt : requestsSent_;
    step.request.budget = remaining(now);
    step.request.objective
            = std::chrono::duration_cast<std::chrono::microseconds>(objective_ - now);
    dependencies_.loads.recordStart(endpoint.node, request_.route, now);
    dependencies_.loads.reachability().recordAttempt(endpoint.dataCentre, now);
    return step;
}

PlanStep CallPlan::finish(const CallResponse &response)
{
    return response;
}

PlanStep CallPlan::refuse(CallResponse response, std::chrono::milliseconds wait, MonotonicTime now)
{
    // A refusal states that no attempt ran, so the response of an attempt that may have run takes
    // precedence.
    if (mayHaveRun_)
        return finish(*mayHaveRun_);
    response.retryAfter = retryDelay(wait, now);
    return response;
}

// Returns a random delay between the expected wait and a fraction of the remaining time, so that
// refused callers do not all retry at the same moment.
std::chrono::milliseconds CallPlan::retryDelay(std::chrono::milliseconds wait, MonotonicTime now)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(remaining(now));
    const auto latest = left / retryDelayDivisor;
    const auto earliest = std::min(std::max(wait, minimumRetryDelay), latest);
    std::uniform_int_distribution<std::int64_t> delay(earliest.count(),
                                                      std::max(earliest, latest).count());
    return std::chrono::milliseconds(delay(random_));
}

std::vector<Candidate> CallPlan::candidates(MonotonicTime now) const
{
    const auto &endpoints = snapshot_->endpointsOf(request_.service);
    const auto &reachability = dependencies_.loads.reachability();
    const auto collect = [&](auto isWanted, bool mayBeTried) {
        std::vector<Candidate> found;
        for (const Endpoint &endpoint : endpoints) {
            const bool isEligible = isWanted(endpoint.version)
                                    && !(mayBeTried ? refusedBy_ : tried_).contains(endpoint.node);
            if (!isEligible)
                continue;
            found.push_back(Candidate{&endpoint,
                                      dependencies_.loads.load(endpoint.node, request_.route, now),
                                      endpoint.dataCentre == snapshot_->dataCentre});
            found.back().load.isCutOff = reachability.isCutOff(endpoint.dataCentre, now);
        }
        return found;
    };
    // During a move both versions may serve. Retries prefer untried endpoints of the primary
    // version, then untried ones of the secondary version, then tried ones of the primary version
    // that did not refuse the call.
    const auto isPrimary = [&](const auto &version) { return share_.isPrimary(version); };
    const auto isSecondary = [&](const auto &version) { return share_.isSecondary(version); };
    const bool prefersSecondary = requestsSent_ == 0 && startsAtSecondary_;
    std::vector<Candidate> found
            = prefersSecondary ? collect(isSecondary, false) : collect(isPrimary, false);
    if (found.empty() && prefersSecondary)
        found = collect(isPrimary, false);
    if (found.empty())
        found = collect(isSecondary, false);
    if (found.empty())
        found = collect(isPrimary, true);
    return found;
}

std::chrono::microseconds CallPlan::remaining(MonotonicTime now) const
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
            std::max(deadline_ - now, MonotonicTime::duration::zero()));
}

} // namespace boragetrack::traffic::retry
