/** Implements CallPlan. */
#include "traffic/retry/CallPlan.h"

#include "traffic/calls/CallSize.h"

#include <algorithm>

namespace boragetrack::traffic::retry {

namespace {

// Nodes that a call is offered to at most; each visit that is turned away takes a trip.
constexpr int visitLimit = 4;
// A caller's wait for its return is at most one part in so many of the time it has left.
constexpr int returnPart = 3;
constexpr std::chrono::milliseconds shortestReturn{20};

} // namespace

using calls::CallOutcome;
using calls::CallResponse;
using core::timing::MonotonicTime;
using routing::Candidate;
using routing::Endpoint;

CallPlan::CallPlan(Shared shared, std::shared_ptr<const routing::RoutingSnapshot> snapshot,
                   const routing::RouteTarget &target, calls::CallRequest request,
                   std::mt19937_64 &random)
    : shared_(shared)
    , snapshot_(std::move(snapshot))
    , target_(target)
    , share_(target.shareOf(request.service))
    , request_(std::move(request))
    , random_(random)
    , isNestedRepeat_(request_.attempt > 1)
{}

PlanStep CallPlan::start(MonotonicTime now)
{
    deadline_ = now + request_.budget;
    objective_ = now + request_.objective;
    shared_.retries.recordFirstAttempt(request_.service, now);
    isTrial_ = std::uniform_real_distribution<>(0.0, 100.0)(random_) < share_.secondaryPercent;
    last_ = CallResponse::notRun("no upstream of service '" + request_.service.value()
                                 + "' takes new work");
    return nextAttempt(now);
}

PlanStep CallPlan::handleResponse(const CallResponse &answer, MonotonicTime now)
{
    shared_.loads.recordResponse(current_.node, request_.route, answer, begunAt_, now);
    noteReach(answer, now);
    if (answer.outcome == CallOutcome::Completed)
        shared_.loads.recordSize(request_.route, calls::sizeOf(request_) + calls::sizeOf(answer));
    if (answer.outcome == CallOutcome::Claimed)
        return attemptAtHolder(answer.claimHolder, now);
    if (answer.outcome == CallOutcome::Completed && !answer.isFailure())
        return finish(answer);
    last_ = answer;
    if (answer.outcome != CallOutcome::NotRun)
        mayHaveRun_ = answer;
    // A claim holder's word is final: another node must not run what this one may have run.
    if (wentToHolder_)
        return finish(answer);
    if (isTurnedAway(answer)) {
        if (answer.hasReachedNode())
            full_.insert(current_.node);
        if (visits_ >= visitLimit || remaining(now).count() <= 0)
            return refuse(answer, answer.retryAfter.value_or(std::chrono::milliseconds::zero()),
                          now);
        return nextAttempt(now);
    }
    ++attempts_;
    RetryContext question;
    question.answer = &answer;
    question.service = request_.service;
    question.isIdempotent = request_.isIdempotent;
    question.attempts = attempts_;
    question.attemptLimit = target_.entry.settings.attemptLimit;
    question.budgetPercent = target_.entry.settings.retryBudgetPercent;
    question.nodes = static_cast<int>(snapshot_->registrars.size());
    question.isNestedInRetry = isNestedRepeat_;
    question.remaining = remaining(now);
    if (!shared_.retries.mayRetry(question, now))
        return answer.outcome == CallOutcome::NotRun
                       ? refuse(answer, std::chrono::milliseconds::zero(), now)
                       : finish(answer);
    return nextAttempt(now);
}

void CallPlan::noteReach(const CallResponse &answer, MonotonicTime now)
{
    if (answer.hasReachedNode())
        shared_.loads.reachability().recordResponse(current_.dataCentre);
    else if (current_.dataCentre != snapshot_->dataCentre)
        shared_.loads.reachability().recordFailure(current_.dataCentre, current_.node,
                                                   now - begunAt_, now);
}

// A call that no upstream saw is placed again without using up an attempt.
bool CallPlan::isTurnedAway(const CallResponse &answer) const
{
    return answer.outcome == CallOutcome::NotRun && !answer.reachedUpstream;
}

PlanStep CallPlan::nextAttempt(MonotonicTime now)
{
    const std::vector<Candidate> found = candidates(now);
    if (found.empty())
        return refuseOrFinish(std::chrono::milliseconds::zero(), now);
    const routing::CallRequirements needs{
            request_.rank(),
            std::chrono::duration_cast<std::chrono::microseconds>(objective_ - now),
            remaining(now)};
    const auto choice = shared_.routing.choose(found, needs, random_);
    if (choice.index)
        return sendTo(*found[*choice.index].endpoint, now);
    if (visits_ == 0)
        last_ = CallResponse::notRun("no upstream can answer in time");
    return refuseOrFinish(choice.shortestWait, now);
}

PlanStep CallPlan::refuseOrFinish(std::chrono::milliseconds wait, MonotonicTime now)
{
    return last_.outcome == CallOutcome::NotRun ? refuse(last_, wait, now) : finish(last_);
}

PlanStep CallPlan::attemptAtHolder(const core::identity::NodeId &holder, MonotonicTime now)
{
    for (const routing::Registrar &registrar : snapshot_->registrars) {
        if (registrar.process == holder && !wentToHolder_) {
            wentToHolder_ = true;
            return sendTo(Endpoint{registrar.node, registrar.address, registrar.dataCentre,
                                   request_.version, 1, 1.0, false},
                          now);
        }
    }
    return finish(CallResponse::unknown("the node that took the request before cannot be reached"));
}

PlanStep CallPlan::sendTo(const Endpoint &endpoint, MonotonicTime now)
{
    current_ = endpoint;
    begunAt_ = now;
    tried_.insert(endpoint.node);
    ++visits_;
    request_.version = endpoint.version;
    SendAttempt step{endpoint, request_};
    step.request.attempt = isNestedRepeat_ ? request_.attempt : visits_;
    step.request.budget = remaining(now);
    step.request.objective
            = std::chrono::duration_cast<std::chrono::microseconds>(objective_ - now);
    shared_.loads.recordStart(endpoint.node, now);
    shared_.loads.reachability().recordAttempt(endpoint.dataCentre, now);
    return step;
}

PlanStep CallPlan::finish(const CallResponse &answer)
{
    return answer;
}

PlanStep CallPlan::refuse(CallResponse answer, std::chrono::milliseconds wait, MonotonicTime now)
{
    // "Not run" must hold for every attempt.
    if (mayHaveRun_)
        return finish(*mayHaveRun_);
    answer.retryAfter = returnTime(wait, now);
    return answer;
}

// Callers come back once there may be room, spread over a while so that they do not return as one.
std::chrono::milliseconds CallPlan::returnTime(std::chrono::milliseconds wait, MonotonicTime now)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(remaining(now));
    const auto latest = left / returnPart;
    const auto earliest = std::min(std::max(wait, shortestReturn), latest);
    std::uniform_int_distribution<std::int64_t> spread(earliest.count(),
                                                       std::max(earliest, latest).count());
    return std::chrono::milliseconds(spread(random_));
}

std::vector<Candidate> CallPlan::candidates(MonotonicTime now) const
{
    const auto &endpoints = snapshot_->endpointsOf(request_.service);
    const auto &reach = shared_.loads.reachability();
    const auto collect = [&](auto isWanted, bool mayBeTried) {
        std::vector<Candidate> found;
        for (const Endpoint &endpoint : endpoints) {
            const bool isEligible = isWanted(endpoint.version)
                                    && !(mayBeTried ? full_ : tried_).contains(endpoint.node);
            if (!isEligible)
                continue;
            found.push_back(Candidate{&endpoint,
                                      shared_.loads.load(endpoint.node, request_.route, now),
                                      endpoint.dataCentre == snapshot_->dataCentre});
            found.back().load.isCutOff = reach.isCutOff(endpoint.dataCentre, now);
        }
        return found;
    };
    // During a move either version may serve; a repeat prefers the primary one.
    const auto isPrimary = [&](const auto &version) { return share_.isPrimary(version); };
    const auto isSecondary = [&](const auto &version) { return share_.isSecondary(version); };
    const bool prefersSecondary = visits_ == 0 && isTrial_;
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
