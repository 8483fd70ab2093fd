/**
    A request ends with its first successful response, with a response after which it may not be
    retried, or at its deadline.
*/
#include "emulator/model/CallerModel.h"

namespace boragetrack::emulator::model {

using results::RequestOutcome;
using traffic::calls::CallOutcome;
using traffic::calls::CallRequest;
using traffic::calls::CallResponse;

namespace {
// One-way network delay between a caller and its node.
constexpr std::chrono::milliseconds callerDelay{1};
// A retry is delayed by at most the remaining time divided by this number.
constexpr int retryDelayDivisor = 3;
} // namespace

/** State of one request over all its attempts. */
struct CallerModel::Request
{
    const plan::KindPlan *kind = nullptr;
    core::identity::OrganisationName organisation;
    core::timing::MonotonicTime startedAt;
    int retriesLeft = 0;
    bool retriesImmediately = false;
    bool isFinished = false;
};

void CallerModel::request(const plan::KindPlan &kind,
                          const core::identity::OrganisationName &organisation, int retries,
                          bool retriesImmediately)
{
    auto request = std::make_shared<Request>();
    request->kind = &kind;
    request->organisation = organisation;
    request->startedAt = dependencies_.clock.now();
    request->retriesLeft = retries;
    request->retriesImmediately = retriesImmediately;
    dependencies_.clock.schedule(kind.deadline,
                                 [this, request]() { finish(request, RequestOutcome::Failed); });
    attempt(request);
}

void CallerModel::attempt(const std::shared_ptr<Request> &request)
{
    if (request->isFinished)
        return;
    const plan::KindPlan &kind = *request->kind;
    const auto elapsed = dependencies_.clock.now() - request->startedAt;
    CallRequest call;
    call.requestId = dependencies_.dataCentre + std::to_string(++lastId_);
    call.route = core::identity::RouteName(kind.name);
    call.service = core::identity::ServiceName(kind.service);
    call.isIdempotent = kind.isIdempotent;
    call.organisation = request->organisation;
    call.priority = kind.priority;
    // Nodes do not know of earlier attempts, so each attempt carries the full objective.
    call.objective = kind.objective;
    call.budget = std::chrono::duration_cast<std::chrono::microseconds>(kind.deadline - elapsed);
    CallHandler &node = dependencies_.selectNode();
    dependencies_.clock.schedule(callerDelay, [this, request, call, &node]() {
        node.call(call, [this, request](const CallResponse &response) {
            dependencies_.clock.schedule(callerDelay, [this, request, response]() {
                handleResponse(request, response);
            });
        });
    });
}

void CallerModel::handleResponse(const std::shared_ptr<Request> &request,
                                 const CallResponse &response)
{
    if (request->isFinished)
        return;
    const plan::KindPlan &kind = *request->kind;
    const auto elapsed = dependencies_.clock.now() - request->startedAt;
    if (response.outcome == CallOutcome::Completed && !response.isFailure()) {
        finish(request, elapsed <= kind.objective ? RequestOutcome::InTime : RequestOutcome::Late);
        return;
    }
    const bool isRefused = response.outcome == CallOutcome::NotRun;
    const bool mayRetry = isRefused || kind.isIdempotent;
    if (!mayRetry || request->retriesLeft == 0) {
        finish(request, isRefused ? RequestOutcome::Refused : RequestOutcome::Failed);
        return;
    }
    --request->retriesLeft;
    const std::chrono::nanoseconds maximumDelay = (kind.deadline - elapsed) / retryDelayDivisor;
    const std::chrono::nanoseconds requestedDelay
            = response.retryAfter.value_or(std::chrono::milliseconds::zero());
    const auto delay = request->retriesImmediately ? std::chrono::nanoseconds::zero()
                                                   : std::min(requestedDelay, maximumDelay);
    dependencies_.clock.schedule(delay, [this, request]() { attempt(request); });
}

void CallerModel::finish(const std::shared_ptr<Request> &request, RequestOutcome outcome)
{
    if (request->isFinished)
        return;
    request->isFinished = true;
    const std::chrono::duration<double> startOffset = request->startedAt - clock::EventClock::start;
    dependencies_.results.recordRequest(*request->kind, dependencies_.dataCentre,
                                        request->organisation.value(),
                                        static_cast<int>(startOffset.count()), outcome);
}

} // namespace boragetrack::emulator::model
