/** Checks each call against the inbound rules on arrival, and again once it holds a permit. */
#include "transport/serving/InboundProxy.h"

#include "core/counters/ScopedCount.h"
#include "core/events/EventLog.h"
#include "traffic/inbound/InboundRules.h"
#include "traffic/inbound/OutdatedCalls.h"
#include "traffic/routing/RecentRouteChange.h"
#include "traffic/usage/CountedRequest.h"

namespace boragetrack::transport::serving {

using core::events::EventCode;
using core::identity::IdempotencyKey;
using core::identity::NodeId;
using core::timing::MonotonicTime;
using traffic::calls::CallOutcome;
using traffic::calls::CallRequest;
using traffic::calls::CallResponse;

namespace {

// The latency of an upstream's first responses says nothing about its version: calls count as cold
// until this many responses were received or this time has passed since the first.
constexpr int coldResponses = 2;
constexpr std::chrono::milliseconds coldTime{1000};

MonotonicTime currentTime()
{
    return std::chrono::steady_clock::now();
}

std::string millisecondsOf(std::chrono::nanoseconds time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

} // namespace

InboundProxy::InboundProxy(Dependencies dependencies)
    : dependencies_(std::move(dependencies))
    , upstreamClient_(dependencies_.network, dependencies_.timer, dependencies_.dialect,
                      dependencies_.counters.counter("upstream_connections_opened"), *this,
                      dependencies_.memory)
    , claimClient_(dependencies_.links, *this, dependencies_.self)
    , admission_(std::move(dependencies_.admission), dependencies_.timer,
                 std::move(dependencies_.queueOrder))
    , callsRun_(dependencies_.counters.counter("upstream_calls_run"))
    , callsRefused_(dependencies_.counters.counter("upstream_calls_refused"))
    , latencies_(dependencies_.counters, "upstream")
    , keyedCalls_({dependencies_.process, claimClient_, admission_,
                   [this](CallRequest &request, kj::Own<AdmissionController::ScopedPermit> permit) {
                       return send(request, kj::mv(permit));
                   },
                   dependencies_.timer, dependencies_.routing})
{}

InboundProxy::~InboundProxy() noexcept = default;

void InboundProxy::setUpstream(const std::optional<UpstreamStatus> &status)
{
    const bool isNewProcess = status && (!status_ || status_->instance != status->instance);
    status_ = status;
    if (!status_)
        return;
    upstreamClient_.setAddress(status_->address);
    coldUntil_ = currentTime() + status_->coldLeft;
    appliedIntent_.reset();
    applyIntent();
    if (!isNewProcess)
        return;
    upstreamClient_.dropIdleConnections();
    admission_.queue().handleUpstreamStart();
    responsesSinceStart_ = 0;
}

void InboundProxy::drain()
{
    admission_.queue().setDraining(true);
}

//==============================================================================
kj::Promise<CallResponse> InboundProxy::serve(CallRequest request)
{
    applyIntent();
    coldRate_.learn(request.coldRate);
    applyColdRate();
    request.receivedAt = currentTime();
    // The sender may have given the call up while this process was paused.
    request.possibleDelay = std::chrono::duration_cast<std::chrono::microseconds>(
            dependencies_.pauses.possibleDelay(request.receivedAt));
    const bool isOutdated = traffic::inbound::isOutdated(request, *dependencies_.routing.current(),
                                                         request.receivedAt);
    const std::optional<std::string> reason
            = isOutdated ? "the sender's intent is out of date" : refusalReason(request);
    const bool isKeyed = !request.key.isEmpty() && !request.isIdempotent;
    // A duplicate receives the stored response even when the upstream has changed since.
    if (reason && !(isKeyed && keyedCalls_.hasResponse(request.key))) {
        CallResponse refusal = refuse(request, *reason);
        refusal.isOutdated = isOutdated;
        return refusal;
    }
    auto share = kj::heap<http::BufferBudget::Share>(upstreamClient_.bufferBudget());
    if (!share->resize(request.body.size()))
        return refuse(request, "too many bytes of bodies are buffered");
    // A keyed request runs on, with its body, when its caller leaves.
    auto call = kj::heap<CallRequest>(std::move(request)).attach(kj::mv(share));
    auto running = isKeyed ? keyedCalls_.serve(kj::mv(call)) : admitAndSend(kj::mv(call));
    return running
            .then([this](CallResponse &&response) {
                response.load = admission_.load();
                response.intentRevision = dependencies_.routing.current()->intent->revision();
                return kj::mv(response);
            })
            .attach(kj::heap<core::counters::ScopedCount>(activeCalls_));
}

NodeId InboundProxy::claim(const IdempotencyKey &key, const NodeId &claimant)
{
    return claimRegister_.claim(key, claimant, currentTime());
}

void InboundProxy::release(const IdempotencyKey &key, const NodeId &claimant)
{
    claimRegister_.release(key, claimant);
}

//==============================================================================
// The next process under the same name is cold and says so only with its first announcement, which
// may be late.
void InboundProxy::upstreamEnded()
{
    coldUntil_ = std::max(coldUntil_, currentTime() + presumedColdTime);
    applyColdRate();
}

std::optional<std::string> InboundProxy::refusalReason(const CallRequest &request) const
{
    if (request.isExpired())
        return "the deadline has passed";
    if (currentTime() < coldUntil_ && !coldRate_.rate())
        return "the rate that the cold upstream can take is not known yet";
    const auto record = status_ ? std::optional(status_->record) : std::nullopt;
    return traffic::inbound::refusalReason(request, record, *dependencies_.routing.current());
}

kj::Promise<CallResponse> InboundProxy::admitAndSend(kj::Own<CallRequest> request)
{
    CallRequest &call = *request;
    return admission_.admit(call)
            .then([this,
                   &call](AdmissionController::OptionalPermit permit) -> kj::Promise<CallResponse> {
                KJ_IF_MAYBE (admitted, permit)
                    return send(call, kj::mv(*admitted));
                return refuse(call, "the upstream is at capacity");
            })
            .attach(kj::mv(request));
}

kj::Promise<CallResponse> InboundProxy::send(CallRequest &request,
                                             kj::Own<AdmissionController::ScopedPermit> permit)
{
    const MonotonicTime startedAt = currentTime();
    request.deductTime(startedAt - request.receivedAt);
    request.receivedAt = startedAt;
    // The intent or the upstream may have changed while the request waited.
    if (const auto reason = refusalReason(request))
        return refuse(request, *reason);
    callsRun_.add();
    auto registration = kj::heap<traffic::calls::RunningCalls::ScopedCall>(
            runningCalls_, request.requestId, request.attempt, request.organisation,
            request.priority);
    traffic::usage::CountedRequest counted(dependencies_.usageMeter, request,
                                           core::timing::currentWallTime());
    return upstreamClient_.send(request, *status_)
            .then([this, &request, startedAt, counted, permit = kj::mv(permit),
                   registration = kj::mv(registration)](CallResponse &&response) mutable {
                counted.end(response.outcome);
                const auto latency = currentTime() - startedAt;
                permit->recordOutcome(request.route, response, latency);
                recordOutcome(request, response, latency, registration->hasFailedNestedCall());
                response.serviceTime
                        = std::chrono::duration_cast<std::chrono::microseconds>(latency);
                response.version = request.version;
                return kj::mv(response);
            });
}

CallResponse InboundProxy::refuse(const CallRequest &request, const std::string &reason)
{
    callsRefused_.add();
    const auto load = admission_.load();
    core::events::logCall(EventCode::CallTurnedAway, "call refused", false,
                          {{"request", request.requestId},
                           {"route", request.route.value()},
                           {"rank", std::to_string(request.rank())},
                           {"objectiveMs", millisecondsOf(request.objective)},
                           {"budgetMs", millisecondsOf(request.budget)},
                           {"version", request.version.value()},
                           {"inFlight", std::to_string(load.inFlight)},
                           {"queued", std::to_string(load.queued)},
                           {"limit", std::to_string(load.limit)},
                           {"coldRate", coldRateText()},
                           {"reason", reason}});
    CallResponse response = CallResponse::notRun(reason);
    response.load = load;
    response.intentRevision = dependencies_.routing.current()->intent->revision();
    return response;
}

void InboundProxy::recordOutcome(const CallRequest &request, const CallResponse &response,
                                 std::chrono::nanoseconds latency, bool hasFailedNestedCall)
{
    logServed(request, response, latency);
    if (response.outcome == CallOutcome::NotRun)
        return;
    latencies_.add(latency);
    const bool isBroken = response.outcome == CallOutcome::Unknown;
    // A failure that follows from that of a nested call says nothing of the version that ran it.
    const bool isEvidence = !(response.isFailure() && hasFailedNestedCall);
    if (isEvidence && dependencies_.routing.current()->needsEvidence)
        dependencies_.evidence(control::moves::CallEvidence{request.service, request.version,
                                                            request.route, response.isFailure(),
                                                            isBroken, isUpstreamCold(), latency});
    if (++responsesSinceStart_ == 1)
        firstResponseAt_ = currentTime();
}

void InboundProxy::logServed(const CallRequest &request, const CallResponse &response,
                             std::chrono::nanoseconds latency)
{
    const bool isGood = response.outcome == CallOutcome::Completed && response.status < 500;
    const auto load = admission_.load();
    const bool isOnChangedRoute = traffic::routing::hasRouteChanged(
            *dependencies_.routing.current(), request.route, currentTime());
    const auto log = isOnChangedRoute ? core::events::logCallOnChangedRoute : core::events::logCall;
    log(EventCode::CallServed, "call served", isGood,
        {{"request", request.requestId},
         {"route", request.route.value()},
         {"rank", std::to_string(request.rank())},
         {"instance", status_ ? status_->instance : ""},
         {"status", std::to_string(response.status)},
         {"ms", millisecondsOf(latency)},
         {"budgetMs", millisecondsOf(request.budget)},
         {"inFlight", std::to_string(load.inFlight)},
         {"queued", std::to_string(load.queued)},
         {"limit", std::to_string(load.limit)},
         {"coldRate", coldRateText()},
         {"reason", response.reason}});
}

bool InboundProxy::isUpstreamCold() const
{
    if (currentTime() < coldUntil_)
        return true;
    return responsesSinceStart_ < coldResponses
           && (responsesSinceStart_ == 0 || currentTime() - firstResponseAt_ < coldTime);
}

std::string InboundProxy::coldRateText() const
{
    if (currentTime() >= coldUntil_)
        return "warm";
    const auto rate = coldRate_.rate();
    if (!rate)
        return "unknown";
    return *rate == 0.0 ? "unlimited" : std::to_string(*rate);
}

// The admission limits and the cold rate come with the intent, which may arrive only after the
// upstream has announced itself.
void InboundProxy::applyIntent()
{
    const auto snapshot = dependencies_.routing.current();
    if (!status_ || snapshot->intent == appliedIntent_)
        return;
    appliedIntent_ = snapshot->intent;
    const auto *service = appliedIntent_->service(status_->record.service);
    coldRate_.setIntended(service == nullptr ? std::nullopt : std::optional(service->coldRate));
    applyColdRate();
    admission_.queue().setLimits(traffic::inbound::limitsFor(status_->record, *snapshot,
                                                             UpstreamClient::maximumConnections));
}

// Without a known rate, a cold upstream gets no calls at all.
void InboundProxy::applyColdRate()
{
    admission_.queue().setCold(coldUntil_, coldRate_.rate().value_or(0.0));
}

} // namespace boragetrack::transport::serving
