/** Runs the admission queue on arrivals, after responses and at the times for which it asks. */
#include "emulator/model/InboundProxyModel.h"

namespace boragetrack::emulator::model {

using traffic::admission::AdmissionDecision;
using traffic::admission::AdmissionLimits;
using traffic::admission::AdmissionSample;
using traffic::admission::Arrival;
using traffic::calls::CallOutcome;
using traffic::calls::CallRequest;
using traffic::calls::CallResponse;

namespace {

// Default of the setting queueLimit, in calls.
constexpr int queueLimit = 40;

AdmissionLimits admissionLimits(const plan::ServicePlan &service)
{
    return AdmissionLimits{service.slots, service.slots, queueLimit};
}

} // namespace

InboundProxyModel::InboundProxyModel(clock::EventClock &clock, const plan::ServicePlan &service,
                                     const policies::PolicySet &policies, UpstreamModel &upstream)
    : clock_(clock)
    , service_(service)
    , policies_(policies)
    , upstream_(upstream)
    , queue_(policies.makeAdmission(admissionLimits(service)), admissionLimits(service),
             policies.makeQueueOrder())
{}

void InboundProxyModel::handle(const CallRequest &request, ResponseCallback done)
{
    WaitingCall call{request, std::move(done), clock_.now(), {}};
    if (!upstream_.isRunning()) {
        refuse(call, "this node has no running upstream of the requested service");
        return;
    }
    const auto now = clock_.now();
    const auto ticket = ++lastTicket_;
    const Arrival arrival = policies_.adjustArrival(
            Arrival{ticket, request.route, request.rank(), now + request.objective,
                    now + request.budget, request.organisation, 1 + request.priority});
    call.organisation = arrival.organisation;
    const AdmissionDecision decision = queue_.arrive(arrival, now);
    if (decision == AdmissionDecision::Refuse)
        refuse(call, "refused by the admission queue");
    else if (decision == AdmissionDecision::Run)
        forward(call);
    else
        waitingCalls_.emplace(ticket, call);
    if (decision == AdmissionDecision::Wait)
        processQueue();
    scheduleQueueCheck();
}

void InboundProxyModel::handleUpstreamStart()
{
    queue_.handleUpstreamStart();
    queue_.setCold(clock_.now() + service_.coldDuration, service_.coldRate);
}

void InboundProxyModel::forward(const WaitingCall &call)
{
    CallRequest request = call.request;
    const auto queueingDelay
            = std::chrono::duration_cast<std::chrono::microseconds>(clock_.now() - call.arrivedAt);
    request.budget -= queueingDelay;
    const auto startedAt = clock_.now();
    const int inFlight = queue_.load(startedAt).inFlight;
    upstream_.handle(request, [this, call, startedAt, inFlight](CallResponse response) {
        const auto latency = clock_.now() - startedAt;
        queue_.finishRequest(AdmissionSample{latency, response.outcome != CallOutcome::Completed,
                                             inFlight, call.request.route, call.organisation},
                             clock_.now());
        response.serviceTime = std::chrono::duration_cast<std::chrono::microseconds>(latency);
        response.load = queue_.load(clock_.now());
        call.done(response);
        processQueue();
    });
}

void InboundProxyModel::refuse(const WaitingCall &call, const std::string &reason)
{
    CallResponse response = CallResponse::notRun(reason);
    response.load = queue_.load(clock_.now());
    call.done(response);
}

void InboundProxyModel::processQueue()
{
    const auto takeCall
            = [&](auto ticket) { return std::move(waitingCalls_.extract(ticket).mapped()); };
    for (const auto ticket : queue_.takeRefused(clock_.now()))
        refuse(takeCall(ticket), "refused by the admission queue");
    for (const auto ticket : queue_.takeRunnable(clock_.now()))
        forward(takeCall(ticket));
}

void InboundProxyModel::scheduleQueueCheck()
{
    const auto delay = queue_.timeUntilNextCheck(clock_.now());
    if (isQueueCheckScheduled_ || !delay)
        return;
    isQueueCheckScheduled_ = true;
    clock_.schedule(*delay, [this]() {
        isQueueCheckScheduled_ = false;
        processQueue();
        scheduleQueueCheck();
    });
}

} // namespace boragetrack::emulator::model
