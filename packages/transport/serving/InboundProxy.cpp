/** Implements InboundProxy. */
#include "transport/serving/InboundProxy.h"

#include "core/events/EventLog.h"
#include "traffic/inbound/InboundRules.h"

namespace boragetrack::transport::serving {

using core::events::EventCode;
using core::identity::IdempotencyKey;
using core::identity::NodeId;
using core::timing::MonotonicTime;
using traffic::calls::CallOutcome;
using traffic::calls::CallRequest;
using traffic::calls::CallResponse;

namespace {

// The first answers of an upstream say nothing of its version's speed.
constexpr int coldAnswers = 2;
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

/** Counts one call under way for the length of a scope. */
class InboundProxy::ScopedCount
{
public:
    explicit ScopedCount(int &count)
        : count_(count)
    {
        ++count_;
    }
    ~ScopedCount() { --count_; }
    ScopedCount(const ScopedCount &) = delete;
    ScopedCount &operator=(const ScopedCount &) = delete;

private:
    int &count_;
};

InboundProxy::InboundProxy(Dependencies parts)
    : dependencies_(std::move(parts))
    , upstream_(dependencies_.network, dependencies_.timer, dependencies_.dialect,
                dependencies_.counters.counter("upstream_connections_opened"))
    , claims_(dependencies_.links, *this, dependencies_.self)
    , desk_(std::move(dependencies_.admission), dependencies_.timer)
    , keyed_({dependencies_.process, claims_, desk_,
              [this](CallRequest &request, kj::Own<AdmissionController::ScopedPermit> place) {
                  return send(request, kj::mv(place));
              },
              dependencies_.timer, dependencies_.routing})
    , callsRun_(dependencies_.counters.counter("upstream_calls_run"))
    , callsRefused_(dependencies_.counters.counter("upstream_calls_refused"))
    , latencies_(dependencies_.counters, "upstream")
{}

InboundProxy::~InboundProxy() noexcept = default;

void InboundProxy::setUpstream(const std::optional<UpstreamStatus> &status)
{
    const bool isNewProcess = status && (!status_ || status_->instance != status->instance);
    status_ = status;
    if (!status_)
        return;
    upstream_.setAddress(status_->address);
    coldUntil_ = currentTime() + status_->coldLeft;
    limitsIntent_.reset();
    followIntent();
    if (!isNewProcess)
        return;
    upstream_.dropIdleConnections();
    desk_.queue().upstreamStarted();
    answersSinceStart_ = 0;
}

void InboundProxy::drain()
{
    desk_.queue().setDraining(true);
}

//==============================================================================
kj::Promise<CallResponse> InboundProxy::serve(CallRequest request)
{
    followIntent();
    const std::optional<std::string> obstacle = obstacleFor(request);
    const bool isKeyed = !request.key.isEmpty() && !request.isIdempotent;
    // A repeat is answered from memory even when the upstream has changed since.
    if (obstacle && !(isKeyed && keyed_.hasResponse(request.key)))
        return turnAway(request, *obstacle);
    auto message = kj::heap<CallRequest>(std::move(request));
    auto answer = isKeyed ? keyed_.serve(kj::mv(message)) : admitAndSend(kj::mv(message));
    return answer
            .then([this](CallResponse &&ended) {
                ended.load = desk_.load();
                return kj::mv(ended);
            })
            .attach(kj::heap<ScopedCount>(activeCalls_));
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
std::optional<std::string> InboundProxy::obstacleFor(const CallRequest &request) const
{
    const auto record = status_ ? std::optional(status_->record) : std::nullopt;
    return traffic::inbound::refusalReason(request, record, *dependencies_.routing.current());
}

kj::Promise<CallResponse> InboundProxy::admitAndSend(kj::Own<CallRequest> request)
{
    CallRequest &call = *request;
    return desk_.admit(call)
            .then([this,
                   &call](AdmissionController::OptionalPermit place) -> kj::Promise<CallResponse> {
                KJ_IF_MAYBE (admitted, place)
                    return send(call, kj::mv(*admitted));
                return turnAway(call, "the upstream has no room");
            })
            .attach(kj::mv(request));
}

kj::Promise<CallResponse> InboundProxy::send(CallRequest &request,
                                             kj::Own<AdmissionController::ScopedPermit> place)
{
    // Orders may have come while the request waited.
    if (const auto obstacle = obstacleFor(request))
        return turnAway(request, *obstacle);
    callsRun_.add();
    const MonotonicTime begun = currentTime();
    auto registration = kj::heap<traffic::calls::RunningCalls::ScopedCall>(
            running_, request.requestId, request.attempt);
    return upstream_.send(request, *status_)
            .attach(kj::mv(registration))
            .then([this, &request, begun, place = kj::mv(place)](CallResponse &&answer) mutable {
                const auto latency = currentTime() - begun;
                place->end(request.route, answer, latency);
                noteEnd(request, answer, latency);
                answer.serviceTime = std::chrono::duration_cast<std::chrono::microseconds>(latency);
                answer.version = request.version;
                return kj::mv(answer);
            });
}

CallResponse InboundProxy::turnAway(const CallRequest &request, const std::string &reason)
{
    callsRefused_.add();
    const auto load = desk_.load();
    core::events::logCall(EventCode::CallTurnedAway, "call turned away", false,
                          {{"request", request.requestId},
                           {"route", request.route.value()},
                           {"rank", std::to_string(request.rank())},
                           {"objectiveMs", millisecondsOf(request.objective)},
                           {"budgetMs", millisecondsOf(request.budget)},
                           {"version", request.version.value()},
                           {"inFlight", std::to_string(load.inFlight)},
                           {"queued", std::to_string(load.queued)},
                           {"limit", std::to_string(load.limit)},
                           {"reason", reason}});
    CallResponse answer = CallResponse::notRun(reason);
    answer.load = load;
    return answer;
}

void InboundProxy::noteEnd(const CallRequest &request, const CallResponse &answer,
                           std::chrono::nanoseconds latency)
{
    logServed(request, answer, latency);
    if (answer.outcome == CallOutcome::NotRun)
        return;
    latencies_.add(latency);
    const bool isBroken = answer.outcome == CallOutcome::Unknown;
    if (dependencies_.routing.current()->needsEvidence)
        dependencies_.evidence(control::moves::CallEvidence{request.service, request.version,
                                                            request.route, answer.isFailure(),
                                                            isBroken, isUpstreamCold(), latency});
    if (++answersSinceStart_ == 1)
        firstAnswerAt_ = currentTime();
}

void InboundProxy::logServed(const CallRequest &request, const CallResponse &answer,
                             std::chrono::nanoseconds latency)
{
    const bool isGood = answer.outcome == CallOutcome::Completed && answer.status < 500;
    const auto load = desk_.load();
    core::events::logCall(EventCode::CallServed, "call served", isGood,
                          {{"request", request.requestId},
                           {"route", request.route.value()},
                           {"rank", std::to_string(request.rank())},
                           {"instance", status_ ? status_->instance : ""},
                           {"status", std::to_string(answer.status)},
                           {"ms", millisecondsOf(latency)},
                           {"inFlight", std::to_string(load.inFlight)},
                           {"queued", std::to_string(load.queued)},
                           {"limit", std::to_string(load.limit)},
                           {"reason", answer.reason}});
}

bool InboundProxy::isUpstreamCold() const
{
    if (currentTime() < coldUntil_)
        return true;
    return answersSinceStart_ < coldAnswers
           && (answersSinceStart_ == 0 || currentTime() - firstAnswerAt_ < coldTime);
}

// The bounds and the cold rate come with the intent, which may become known only after the upstream
// has announced itself.
void InboundProxy::followIntent()
{
    const auto snapshot = dependencies_.routing.current();
    if (!status_ || snapshot->intent == limitsIntent_)
        return;
    limitsIntent_ = snapshot->intent;
    const auto *service = limitsIntent_->service(status_->record.service);
    desk_.queue().setCold(coldUntil_, service == nullptr ? 0.0 : service->coldRate);
    desk_.queue().setLimits(traffic::inbound::limitsFor(status_->record, *snapshot,
                                                        UpstreamClient::maximumConnections));
}

} // namespace boragetrack::transport::serving
