/**
    A request takes half of its service time, then makes its nested calls, and then takes the other
    half. It holds its slot all along and fails when a nested call fails.
*/
#include "emulator/model/UpstreamModel.h"

#include <algorithm>
#include <cmath>

namespace boragetrack::emulator::model {

using traffic::calls::CallOutcome;
using traffic::calls::CallRequest;
using traffic::calls::CallResponse;

namespace {

constexpr int okStatus = 200;
constexpr int errorStatus = 500;
constexpr int timeoutStatus = 504;
// Above the threshold of slot utilization, service times grow linearly by up to this fraction.
constexpr double saturationSlowdown = 0.3;
constexpr double saturationThreshold = 0.75;

CallResponse makeResponse(int status)
{
    CallResponse response;
    response.outcome = CallOutcome::Completed;
    response.status = status;
    response.reachedUpstream = true;
    return response;
}

} // namespace

/** State of a queued or running request. */
struct UpstreamModel::Run
{
    CallRequest request;
    ResponseCallback done;
    const plan::KindPlan *kind = nullptr;
    core::timing::MonotonicTime deadline;
    std::chrono::nanoseconds secondHalf{0};
    bool isStarted = false;
    bool isFinished = false;
    // Nested calls that are not yet sent, and the number that await a response.
    std::deque<const plan::KindPlan *> remainingCalls;
    int outstandingCalls = 0;
};

UpstreamModel::UpstreamModel(const Dependencies &dependencies, double speed)
    : dependencies_(dependencies)
    , speed_(speed)
{}

void UpstreamModel::handle(const CallRequest &request, ResponseCallback done)
{
    const bool isShed = std::bernoulli_distribution(shedShare_)(dependencies_.random)
                        || static_cast<int>(queue_.size()) >= dependencies_.service.queueLimit
                                                                      + dependencies_.service.slots;
    if (!isRunning_ || isShed) {
        CallResponse refusal = CallResponse::notRun("shed by the upstream");
        refusal.reachedUpstream = isRunning_;
        dependencies_.clock.schedule(std::chrono::milliseconds(1),
                                     [done = std::move(done), refusal]() { done(refusal); });
        return;
    }
    auto run = std::make_shared<Run>();
    run->request = request;
    run->done = std::move(done);
    run->kind = dependencies_.plan.findKind(request.route.value());
    run->deadline = dependencies_.clock.now() + request.budget;
    std::erase_if(runs_, [](const auto &each) { return each.expired(); });
    runs_.push_back(run);
    dependencies_.clock.schedule(request.budget, [this, run]() { finish(run, timeoutStatus); });
    if (activeCount_ < dependencies_.service.slots)
        startServing(run);
    else
        queue_.push_back(run);
}

void UpstreamModel::crash()
{
    isRunning_ = false;
    activeCount_ = 0;
    queue_.clear();
    for (const auto &each : std::exchange(runs_, {})) {
        const RunPointer run = each.lock();
        if (!run || run->isFinished)
            continue;
        run->isFinished = true;
        CallResponse response = CallResponse::unknown("the upstream crashed");
        response.reachedUpstream = true;
        run->done(response);
    }
}

void UpstreamModel::start()
{
    isRunning_ = true;
    coldUntil_ = dependencies_.clock.now() + dependencies_.service.coldDuration;
}

//==============================================================================
void UpstreamModel::startServing(const RunPointer &run)
{
    ++activeCount_;
    run->isStarted = true;
    const auto serviceTime = drawServiceTime(*run->kind);
    run->secondHalf = serviceTime / 2;
    for (const plan::NestedCalls &calls : run->kind->calls) {
        if (!std::bernoulli_distribution(calls.share)(dependencies_.random))
            continue;
        const plan::KindPlan *kind = dependencies_.plan.findKind(calls.kind);
        for (int i = 0; i < calls.times; ++i)
            run->remainingCalls.push_back(kind);
    }
    dependencies_.clock.schedule(serviceTime - run->secondHalf,
                                 [this, run]() { startNestedCalls(run); });
}

void UpstreamModel::startNestedCalls(const RunPointer &run)
{
    if (run->isFinished)
        return;
    const auto &calls = run->kind->calls;
    const bool isConcurrent = !calls.empty() && calls.front().isConcurrent;
    if (run->remainingCalls.empty()) {
        dependencies_.clock.schedule(run->secondHalf, [this, run]() { finish(run, okStatus); });
        return;
    }
    do
        startNextNestedCall(run);
    while (isConcurrent && !run->remainingCalls.empty());
}

void UpstreamModel::startNextNestedCall(const RunPointer &run)
{
    const plan::KindPlan &kind = *run->remainingCalls.front();
    run->remainingCalls.pop_front();
    ++run->outstandingCalls;
    dependencies_.calls.call(
            makeNestedRequest(*run, kind),
            [this, run](const CallResponse &response) { handleNestedResponse(run, response); });
}

void UpstreamModel::handleNestedResponse(const RunPointer &run, const CallResponse &response)
{
    --run->outstandingCalls;
    if (run->isFinished)
        return;
    if (response.outcome != CallOutcome::Completed || response.isFailure()) {
        finish(run, errorStatus);
        return;
    }
    if (run->outstandingCalls == 0)
        startNestedCalls(run);
}

void UpstreamModel::finish(const RunPointer &run, int status)
{
    if (run->isFinished)
        return;
    run->isFinished = true;
    if (run->isStarted)
        --activeCount_;
    std::erase(queue_, run);
    CallResponse response = makeResponse(status);
    response.body.resize(run->kind->bytes);
    run->done(response);
    while (!queue_.empty() && activeCount_ < dependencies_.service.slots) {
        const RunPointer next = queue_.front();
        queue_.pop_front();
        startServing(next);
    }
}

std::chrono::nanoseconds UpstreamModel::drawServiceTime(const plan::KindPlan &kind)
{
    const double spread = kind.serviceTime.spread;
    // With this location parameter the mean of the distribution is 1, so that the plan's mean
    // holds.
    std::lognormal_distribution<> draw(-spread * spread / 2.0, spread);
    double factor = draw(dependencies_.random) * slowdownFactor_ / speed_;
    if (std::bernoulli_distribution(kind.serviceTime.tailShare)(dependencies_.random))
        factor *= kind.serviceTime.tailFactor;
    if (dependencies_.clock.now() < coldUntil_)
        factor *= dependencies_.service.coldFactor;
    const double utilization = static_cast<double>(activeCount_) / dependencies_.service.slots;
    factor *= 1.0
              + saturationSlowdown * std::max(0.0, utilization - saturationThreshold)
                        / (1.0 - saturationThreshold);
    return std::chrono::duration_cast<std::chrono::nanoseconds>(kind.serviceTime.mean * factor);
}

CallRequest UpstreamModel::makeNestedRequest(const Run &run, const plan::KindPlan &kind) const
{
    CallRequest call;
    call.requestId = run.request.requestId + ".1";
    call.route = core::identity::RouteName(kind.name);
    call.service = core::identity::ServiceName(kind.service);
    call.isIdempotent = kind.isIdempotent;
    call.isNested = true;
    call.priority = run.request.priority;
    call.organisation = run.request.organisation;
    call.attempt = run.request.attempt;
    call.objective = kind.objective;
    const auto left = run.deadline - dependencies_.clock.now();
    call.budget = std::min<std::chrono::microseconds>(
            kind.deadline, std::chrono::duration_cast<std::chrono::microseconds>(left));
    return call;
}

} // namespace boragetrack::emulator::model
