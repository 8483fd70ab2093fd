/** Implements CallPlan. */
#include "traffic/retry/CallPlan.h"

#include <algorithm>

namespace boragetrack::traffic::retry {

using calls::CallAnswer;
using calls::CallOutcome;
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
    shared_.retries.callBegan(target_.entry.settings.retryBudgetPercent);
    isTrial_ = std::uniform_real_distribution<>(0.0, 100.0)(random_) < share_.secondaryPercent;
    last_ = CallAnswer::notRun("no upstream of service '" + request_.service.value()
                               + "' takes new work");
    return nextAttempt(now);
}

PlanStep CallPlan::attemptEnded(const CallAnswer &answer, MonotonicTime now)
{
    shared_.loads.end(current_.node, answer, now);
    if (answer.outcome == CallOutcome::Claimed)
        return attemptAtHolder(answer.claimHolder, now);
    if (answer.outcome == CallOutcome::Answered && !answer.isFailure())
        return finish(answer);
    last_ = answer;
    const RetryQuestion question{&answer,         request_.isIdempotent,
                                 attempts_,       target_.entry.settings.attemptLimit,
                                 isNestedRepeat_, remaining(now)};
    // A claim holder's word is final: another node must not run what this one may have run.
    if (wentToHolder_ || !shared_.retries.mayRetry(question))
        return finish(answer);
    return nextAttempt(now);
}

PlanStep CallPlan::nextAttempt(MonotonicTime now)
{
    const std::vector<Candidate> found = candidates(now);
    if (found.empty())
        return finish(last_);
    return sendTo(*found[shared_.routing.choose(found, random_)].endpoint, now);
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
    return finish(CallAnswer::unknown("the node that took the request before cannot be reached"));
}

PlanStep CallPlan::sendTo(const Endpoint &endpoint, MonotonicTime now)
{
    current_ = endpoint;
    tried_.insert(endpoint.node);
    ++attempts_;
    request_.version = endpoint.version;
    SendAttempt step{endpoint, request_};
    step.request.attempt = isNestedRepeat_ ? request_.attempt : attempts_;
    // An idempotent call keeps time for another attempt in case this endpoint stays silent.
    const int attemptsLeft = target_.entry.settings.attemptLimit - attempts_ + 1;
    const bool isDivided = request_.isIdempotent && !isNestedRepeat_ && attemptsLeft > 1;
    step.request.budget = isDivided ? remaining(now) / 2 : remaining(now);
    shared_.loads.begin(endpoint.node);
    return step;
}

PlanStep CallPlan::finish(const CallAnswer &answer) const
{
    return answer;
}

std::vector<Candidate> CallPlan::candidates(MonotonicTime now) const
{
    const auto &endpoints = snapshot_->endpointsOf(request_.service);
    const auto collect = [&](auto isWanted, bool mayBeTried) {
        std::vector<Candidate> found;
        for (const Endpoint &endpoint : endpoints) {
            const bool isEligible
                    = isWanted(endpoint.version) && (mayBeTried || !tried_.contains(endpoint.node));
            if (isEligible)
                found.push_back(Candidate{&endpoint, shared_.loads.load(endpoint.node, now),
                                          endpoint.dataCentre == snapshot_->dataCentre});
        }
        return found;
    };
    // During a move either version may serve; a repeat prefers the primary one.
    const auto isPrimary = [&](const auto &version) { return share_.isPrimary(version); };
    const auto isSecondary = [&](const auto &version) { return share_.isSecondary(version); };
    const bool prefersSecondary = attempts_ == 0 && isTrial_;
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
