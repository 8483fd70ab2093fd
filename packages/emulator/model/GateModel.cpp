/** Implements GateModel. */
#include "emulator/model/GateModel.h"

namespace boragetrack::emulator::model {

using traffic::admission::AdmissionDecision;
using traffic::admission::AdmissionLimits;
using traffic::admission::AdmissionSample;
using traffic::admission::Arrival;
using traffic::calls::CallOutcome;
using traffic::calls::CallRequest;
using traffic::calls::CallResponse;

namespace {

// The default of the settings.
constexpr int queueLimit = 40;

AdmissionLimits limitsOf(const plan::ServicePlan &service)
{
    return AdmissionLimits{service.slots, service.slots, queueLimit};
}

} // namespace

GateModel::GateModel(clock::EventClock &clock, const plan::ServicePlan &service,
                     const policies::PolicySet &policies, UpstreamModel &upstream)
    : clock_(clock)
    , service_(service)
    , policies_(policies)
    , upstream_(upstream)
    , queue_(policies.makeAdmission(limitsOf(service)), limitsOf(service))
{}

void GateModel::serve(const CallRequest &request, AnswerSink done)
{
    const Wait wait{request, std::move(done), clock_.now()};
    if (!upstream_.isRunning()) {
        turnAway(wait, "no upstream of the asked service runs beside this node");
        return;
    }
    const auto now = clock_.now();
    const auto ticket = ++lastTicket_;
    const Arrival arrival = policies_.ordered(Arrival{
            ticket, request.route, request.rank(), now + request.objective, now + request.budget});
    const AdmissionDecision decision = queue_.arrive(arrival, now);
    if (decision == AdmissionDecision::Refuse)
        turnAway(wait, "the upstream has no room");
    else if (decision == AdmissionDecision::Run)
        send(wait);
    else
        waits_.emplace(ticket, wait);
    if (decision == AdmissionDecision::Wait)
        pump();
    lookLater();
}

void GateModel::upstreamStarted()
{
    queue_.upstreamStarted();
    queue_.setCold(clock_.now() + service_.coldTime, service_.coldRate);
}

void GateModel::send(const Wait &wait)
{
    CallRequest request = wait.request;
    const auto waited
            = std::chrono::duration_cast<std::chrono::microseconds>(clock_.now() - wait.arrivedAt);
    request.budget -= waited;
    const auto begun = clock_.now();
    const int inFlight = queue_.load(begun).inFlight;
    upstream_.take(request, [this, wait, begun, inFlight](CallResponse answer) {
        const auto latency = clock_.now() - begun;
        queue_.finishRequest(AdmissionSample{latency, answer.outcome != CallOutcome::Completed,
                                             inFlight, wait.request.route},
                             clock_.now());
        answer.serviceTime = std::chrono::duration_cast<std::chrono::microseconds>(latency);
        answer.load = queue_.load(clock_.now());
        wait.done(answer);
        pump();
    });
}

void GateModel::turnAway(const Wait &wait, const std::string &reason)
{
    CallResponse answer = CallResponse::notRun(reason);
    answer.load = queue_.load(clock_.now());
    wait.done(answer);
}

void GateModel::pump()
{
    const auto take = [&](auto ticket) { return std::move(waits_.extract(ticket).mapped()); };
    for (const auto ticket : queue_.takeRefused(clock_.now()))
        turnAway(take(ticket), "the upstream has no room");
    for (const auto ticket : queue_.takeRunnable(clock_.now()))
        send(take(ticket));
}

void GateModel::lookLater()
{
    const auto wait = queue_.timeUntilNextCheck(clock_.now());
    if (isLookPlanned_ || !wait)
        return;
    isLookPlanned_ = true;
    clock_.after(*wait, [this]() {
        isLookPlanned_ = false;
        pump();
        lookLater();
    });
}

} // namespace boragetrack::emulator::model
