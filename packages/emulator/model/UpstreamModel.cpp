/** Implements UpstreamModel. */
#include "emulator/model/UpstreamModel.h"

#include <algorithm>
#include <cmath>

namespace boragetrack::emulator::model {

using traffic::calls::CallOutcome;
using traffic::calls::CallRequest;
using traffic::calls::CallResponse;

namespace {

constexpr int okStatus = 200;
constexpr int failedStatus = 500;
constexpr int timeoutStatus = 504;
// An upstream that is nearly full works slower, by up to this part.
constexpr double slowdownWhenFull = 0.3;
constexpr double nearlyFull = 0.75;

CallResponse answered(int status)
{
    CallResponse answer;
    answer.outcome = CallOutcome::Completed;
    answer.status = status;
    answer.reachedUpstream = true;
    return answer;
}

} // namespace

/** A request that the upstream queues or works on. */
struct UpstreamModel::Run
{
    CallRequest request;
    AnswerSink done;
    const plan::KindPlan *kind = nullptr;
    core::timing::MonotonicTime deadline;
    std::chrono::nanoseconds secondHalf{0};
    bool hasBegun = false;
    bool hasEnded = false;
    // The calls that are still to be made, and those that wait for an answer.
    std::deque<const plan::KindPlan *> callsLeft;
    int callsWaiting = 0;
};

UpstreamModel::UpstreamModel(const Parts &parts, double speed)
    : parts_(parts)
    , speed_(speed)
{}

void UpstreamModel::take(const CallRequest &request, AnswerSink done)
{
    const bool isShed
            = std::bernoulli_distribution(shedShare_)(parts_.random)
              || static_cast<int>(queue_.size()) >= parts_.service.queue + parts_.service.slots;
    if (!isRunning_ || isShed) {
        CallResponse refusal = CallResponse::notRun("turned away by the upstream");
        refusal.reachedUpstream = isRunning_;
        parts_.clock.after(std::chrono::milliseconds(1),
                           [done = std::move(done), refusal]() { done(refusal); });
        return;
    }
    auto run = std::make_shared<Run>();
    run->request = request;
    run->done = std::move(done);
    run->kind = parts_.plan.kind(request.route.value());
    run->deadline = parts_.clock.now() + request.budget;
    std::erase_if(runs_, [](const auto &each) { return each.expired(); });
    runs_.push_back(run);
    parts_.clock.after(request.budget, [this, run]() { finish(run, timeoutStatus); });
    if (working_ < parts_.service.slots)
        begin(run);
    else
        queue_.push_back(run);
}

void UpstreamModel::crash()
{
    isRunning_ = false;
    working_ = 0;
    queue_.clear();
    for (const auto &each : std::exchange(runs_, {})) {
        const RunPointer run = each.lock();
        if (!run || run->hasEnded)
            continue;
        run->hasEnded = true;
        CallResponse broken = CallResponse::unknown("the upstream broke off");
        broken.reachedUpstream = true;
        run->done(broken);
    }
}

void UpstreamModel::start()
{
    isRunning_ = true;
    coldUntil_ = parts_.clock.now() + parts_.service.coldTime;
}

//==============================================================================
void UpstreamModel::begin(const RunPointer &run)
{
    ++working_;
    run->hasBegun = true;
    const auto work = drawWork(*run->kind);
    run->secondHalf = work / 2;
    for (const plan::NestedCalls &calls : run->kind->calls) {
        if (!std::bernoulli_distribution(calls.share)(parts_.random))
            continue;
        const plan::KindPlan *kind = parts_.plan.kind(calls.kind);
        for (int i = 0; i < calls.times; ++i)
            run->callsLeft.push_back(kind);
    }
    parts_.clock.after(work - run->secondHalf, [this, run]() { makeCalls(run); });
}

void UpstreamModel::makeCalls(const RunPointer &run)
{
    if (run->hasEnded)
        return;
    const auto &calls = run->kind->calls;
    const bool isTogether = !calls.empty() && calls.front().isTogether;
    if (run->callsLeft.empty()) {
        parts_.clock.after(run->secondHalf, [this, run]() { finish(run, okStatus); });
        return;
    }
    do
        makeNextCall(run);
    while (isTogether && !run->callsLeft.empty());
}

void UpstreamModel::makeNextCall(const RunPointer &run)
{
    const plan::KindPlan &kind = *run->callsLeft.front();
    run->callsLeft.pop_front();
    ++run->callsWaiting;
    parts_.calls.call(nestedCall(*run, kind),
                      [this, run](const CallResponse &answer) { callEnded(run, answer); });
}

void UpstreamModel::callEnded(const RunPointer &run, const CallResponse &answer)
{
    --run->callsWaiting;
    if (run->hasEnded)
        return;
    if (answer.outcome != CallOutcome::Completed || answer.isFailure()) {
        finish(run, failedStatus);
        return;
    }
    if (run->callsWaiting == 0)
        makeCalls(run);
}

void UpstreamModel::finish(const RunPointer &run, int status)
{
    if (run->hasEnded)
        return;
    run->hasEnded = true;
    if (run->hasBegun)
        --working_;
    std::erase(queue_, run);
    CallResponse answer = answered(status);
    answer.body.resize(run->kind->bytes);
    run->done(answer);
    while (!queue_.empty() && working_ < parts_.service.slots) {
        const RunPointer next = queue_.front();
        queue_.pop_front();
        begin(next);
    }
}

std::chrono::nanoseconds UpstreamModel::drawWork(const plan::KindPlan &kind)
{
    const double spread = kind.work.spread;
    // The mean of the distribution, not its median, is the mean of the plan.
    std::lognormal_distribution<> draw(-spread * spread / 2.0, spread);
    double factor = draw(parts_.random) * slowness_ / speed_;
    if (std::bernoulli_distribution(kind.work.tailShare)(parts_.random))
        factor *= kind.work.tailFactor;
    if (parts_.clock.now() < coldUntil_)
        factor *= parts_.service.coldFactor;
    const double fill = static_cast<double>(working_) / parts_.service.slots;
    factor *= 1.0 + slowdownWhenFull * std::max(0.0, fill - nearlyFull) / (1.0 - nearlyFull);
    return std::chrono::duration_cast<std::chrono::nanoseconds>(kind.work.mean * factor);
}

CallRequest UpstreamModel::nestedCall(const Run &run, const plan::KindPlan &kind) const
{
    CallRequest call;
    call.requestId = run.request.requestId + ".1";
    call.route = core::identity::RouteName(kind.name);
    call.service = core::identity::ServiceName(kind.service);
    call.isIdempotent = kind.isIdempotent;
    call.isNested = true;
    call.priority = kind.priority;
    call.attempt = run.request.attempt;
    call.objective = kind.objective;
    const auto left = run.deadline - parts_.clock.now();
    call.budget = std::min<std::chrono::microseconds>(
            kind.deadline, std::chrono::duration_cast<std::chrono::microseconds>(left));
    return call;
}

} // namespace boragetrack::emulator::model
