/** Implements CallerHandler. */
#include "daemon/frontends/CallerHandler.h"

#include "daemon/frontends/CallerProtocol.h"

#include <random>

namespace boragetrack::daemon::frontends {

using traffic::calls::CallAnswer;
using traffic::calls::CallOutcome;
using traffic::calls::CallRequest;
using traffic::retry::CallPlan;
using traffic::retry::PlanStep;
using traffic::retry::SendAttempt;
using transport::http::HttpRequest;
using transport::http::HttpResponse;

namespace {

constexpr int noRouteStatus = 404;

std::mt19937_64 &threadRandom()
{
    thread_local std::mt19937_64 random{std::random_device{}()};
    return random;
}

} // namespace

CallerHandler::CallerHandler(Parts parts)
    : parts_(parts)
    , calls_(parts_.counters.counter("calls"))
    , attempts_(parts_.counters.counter("call_attempts"))
    , refusals_(parts_.counters.counter("calls_not_run"))
    , unknowns_(parts_.counters.counter("calls_unknown"))
{}

HttpResponse CallerHandler::handle(const HttpRequest &request)
{
    const ActiveCalls::ScopedCall active(activeCalls_);
    calls_.add();
    return execute(request);
}

HttpResponse CallerHandler::execute(const HttpRequest &request)
{
    const auto snapshot = parts_.routing.current();
    if (isStopping_ || !snapshot->isServing) {
        refusals_.add();
        return responseFrom(CallAnswer::notRun(isStopping_ ? "the node is stopping"
                                                           : "the node has no intent yet"));
    }
    const traffic::routing::RouteTarget *target = snapshot->targetFor(request.path());
    if (target == nullptr) {
        HttpResponse response
                = responseFrom(CallAnswer::notRun("no route covers " + request.path()));
        response.status = noRouteStatus;
        return response;
    }
    CallRequest call = callFrom(request, *target);
    if (const auto obstacle = obstacleTo(call)) {
        refusals_.add();
        return responseFrom(CallAnswer::notRun(*obstacle));
    }
    CallPlan plan({parts_.routingPolicy, parts_.retryPolicy, loads_}, snapshot, *target,
                  std::move(call), threadRandom());
    const CallAnswer answer = run(plan);
    if (answer.outcome == CallOutcome::NotRun)
        refusals_.add();
    else if (answer.outcome != CallOutcome::Answered)
        unknowns_.add();
    return responseFrom(answer);
}

CallAnswer CallerHandler::run(CallPlan &plan)
{
    PlanStep step = plan.start(std::chrono::steady_clock::now());
    while (const auto *attempt = std::get_if<SendAttempt>(&step)) {
        attempts_.add();
        const CallAnswer answer = parts_.links.call(attempt->endpoint.node,
                                                    attempt->endpoint.address, attempt->request);
        step = plan.attemptEnded(answer, std::chrono::steady_clock::now());
    }
    return std::get<CallAnswer>(step);
}

} // namespace boragetrack::daemon::frontends
