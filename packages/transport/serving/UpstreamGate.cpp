/** Implements UpstreamGate. */
#include "transport/serving/UpstreamGate.h"

#include "core/events/EventLog.h"

#include <algorithm>

namespace boragetrack::transport::serving {

using core::identity::IdempotencyKey;
using core::identity::NodeId;
using core::timing::MonotonicTime;
using traffic::admission::AdmissionDecision;
using traffic::admission::AdmissionLimits;
using traffic::admission::AdmissionQueue;
using traffic::admission::AdmissionSample;
using traffic::calls::CallAnswer;
using traffic::calls::CallOutcome;
using traffic::calls::CallRequest;
using traffic::deduplication::ClaimBallot;
using traffic::deduplication::ReplayState;

namespace {

// The first answers of an upstream say nothing of its version's speed.
constexpr int coldAnswers = 2;
constexpr std::chrono::milliseconds coldTime{1000};

MonotonicTime currentTime()
{
    return std::chrono::steady_clock::now();
}

kj::Duration toKj(std::chrono::nanoseconds time)
{
    return time.count() * kj::NANOSECONDS;
}

bool isOverload(const CallAnswer &answer)
{
    return answer.outcome != CallOutcome::Answered;
}

} // namespace

/** Holds one admitted place beside the upstream. */
class UpstreamGate::ScopedAdmission
{
public:
    explicit ScopedAdmission(UpstreamGate &gate)
        : gate_(gate)
        , inFlight_(gate.queue_.load(currentTime()).inFlight)
    {}
    ~ScopedAdmission()
    {
        if (!isEnded_)
            gate_.queue_.abandoned();
        gate_.pump();
    }
    ScopedAdmission(const ScopedAdmission &) = delete;
    ScopedAdmission &operator=(const ScopedAdmission &) = delete;

    void end(const core::identity::RouteName &route, const CallAnswer &answer,
             std::chrono::nanoseconds latency)
    {
        isEnded_ = true;
        gate_.queue_.ended(AdmissionSample{latency, isOverload(answer), inFlight_, route},
                           currentTime());
    }

private:
    UpstreamGate &gate_;
    int inFlight_;
    bool isEnded_ = false;
};

/** Holds one place in the queue. */
class UpstreamGate::ScopedWait
{
public:
    ScopedWait(UpstreamGate &gate, AdmissionQueue::Ticket ticket,
               kj::Own<kj::PromiseFulfiller<Place>> fulfiller)
        : gate_(gate)
        , ticket_(ticket)
        , fulfiller_(kj::mv(fulfiller))
    {
        gate_.waits_[ticket_] = this;
    }
    ~ScopedWait()
    {
        if (gate_.waits_.erase(ticket_) > 0)
            gate_.queue_.withdraw(ticket_);
    }
    ScopedWait(const ScopedWait &) = delete;
    ScopedWait &operator=(const ScopedWait &) = delete;

    void decide(Place place) { fulfiller_->fulfill(kj::mv(place)); }

private:
    UpstreamGate &gate_;
    AdmissionQueue::Ticket ticket_;
    kj::Own<kj::PromiseFulfiller<Place>> fulfiller_;
};

UpstreamGate::UpstreamGate(Parts parts)
    : parts_(std::move(parts))
    , upstream_(parts_.network, parts_.timer, parts_.dialect)
    , claims_(parts_.links, *this, parts_.self)
    , queue_(std::move(parts_.admission), limits_)
    , callsRun_(parts_.counters.counter("upstream_calls_run"))
    , callsRefused_(parts_.counters.counter("upstream_calls_refused"))
    , callsReplayed_(parts_.counters.counter("upstream_calls_replayed"))
    , tasks_(*this)
{}

UpstreamGate::~UpstreamGate() noexcept = default;

void UpstreamGate::setUpstream(const std::optional<UpstreamStatus> &status)
{
    const bool isNewProcess = status && (!status_ || status_->instance != status->instance);
    status_ = status;
    if (!status_)
        return;
    upstream_.setAddress(status_->address);
    coldUntil_ = currentTime() + status_->coldLeft;
    limitsIntent_.reset();
    updateLimits();
    if (!isNewProcess)
        return;
    upstream_.forgetConnections();
    queue_.upstreamStarted();
    answersSinceStart_ = 0;
}

// The intent may become known only after the upstream has announced itself.
void UpstreamGate::updateCold()
{
    const auto *service = limitsIntent_->service(status_->record.service);
    const double rate = service == nullptr ? 0.0 : service->coldRate;
    queue_.setCold(coldUntil_, rate);
}

void UpstreamGate::drain()
{
    queue_.setDraining(true);
}

//==============================================================================
kj::Promise<CallAnswer> UpstreamGate::serve(CallRequest request)
{
    updateLimits();
    const std::optional<std::string> obstacle = obstacleFor(request);
    const bool isKeyed = !request.key.isEmpty() && !request.isIdempotent;
    // A repeat is answered from memory even when the upstream has changed since.
    const bool isKnown = isKeyed && replays_.answer(request.key).has_value();
    if (obstacle && !isKnown) {
        return turnAway(request, *obstacle);
    }
    ++activeCalls_;
    auto message = kj::heap<CallRequest>(std::move(request));
    auto answer = isKeyed ? serveKeyed(kj::mv(message)) : admitAndSend(kj::mv(message));
    return answer
            .then([this](CallAnswer &&ended) {
                ended.load = queue_.load(currentTime());
                return kj::mv(ended);
            })
            .attach(kj::defer([this]() { --activeCalls_; }));
}

NodeId UpstreamGate::claim(const IdempotencyKey &key, const NodeId &claimant)
{
    return claimRegister_.claim(key, claimant, currentTime());
}

void UpstreamGate::release(const IdempotencyKey &key, const NodeId &claimant)
{
    claimRegister_.release(key, claimant);
}

//==============================================================================
kj::Promise<CallAnswer> UpstreamGate::serveKeyed(kj::Own<CallRequest> request)
{
    replays_.expire(currentTime());
    const IdempotencyKey key = request->key;
    const auto budget = request->budget;
    switch (replays_.begin(key)) {
    case ReplayState::Finished:
        callsReplayed_.add();
        return *replays_.answer(key);
    case ReplayState::Running:
        callsReplayed_.add();
        return awaitKeyed(key, budget);
    case ReplayState::New:
        break;
    }
    if (!replays_.hasRoom()) {
        replays_.release(key);
        return CallAnswer::notRun("too many keyed requests are remembered");
    }
    auto answer = awaitKeyed(key, budget);
    startKeyed(kj::mv(request));
    return answer;
}

void UpstreamGate::startKeyed(kj::Own<CallRequest> request)
{
    // A keyed request runs to its end even when its caller goes, so that a repeat gets its answer.
    CallRequest &call = *request;
    const IdempotencyKey key = call.key;
    const Snapshot snapshot = parts_.routing.current();
    auto running
            = admit(call).then([this, &call, snapshot](Place place) -> kj::Promise<CallAnswer> {
                  KJ_IF_MAYBE (admission, place)
                      return claimAndSend(call, kj::mv(*admission), snapshot);
                  return CallAnswer::notRun("the upstream has no room");
              });
    tasks_.add(running.catch_([](kj::Exception &&exception) {
                          return CallAnswer::unknown(exception.getDescription().cStr());
                      })
                       .then([this, key](CallAnswer &&answer) { finishKeyed(key, answer); })
                       .attach(kj::mv(request)));
}

kj::Promise<CallAnswer> UpstreamGate::claimAndSend(CallRequest &request,
                                                   kj::Own<ScopedAdmission> admission,
                                                   const Snapshot &snapshot)
{
    return claims_.claim(request.key, parts_.process, snapshot->registrars)
            .then([this, &request, snapshot, admission = kj::mv(admission)](
                          const ClaimBallot &ballot) mutable -> kj::Promise<CallAnswer> {
                const auto releaseWith = [this, &request, snapshot](const CallAnswer &answer) {
                    return claims_.release(request.key, parts_.process, snapshot->registrars)
                            .then([answer]() { return answer; });
                };
                if (ballot.isGranted()) {
                    return send(request, kj::mv(admission))
                            .then([releaseWith](CallAnswer &&answer) -> kj::Promise<CallAnswer> {
                                if (answer.outcome == CallOutcome::NotRun)
                                    return releaseWith(answer);
                                return kj::mv(answer);
                            });
                }
                CallAnswer refusal = CallAnswer::notRun("too few registrars of the key answer");
                if (!ballot.vetoHolder().isEmpty()) {
                    refusal.outcome = CallOutcome::Claimed;
                    refusal.claimHolder = ballot.vetoHolder();
                }
                return releaseWith(refusal);
            });
}

void UpstreamGate::finishKeyed(const IdempotencyKey &key, const CallAnswer &answer)
{
    const bool didRun
            = answer.outcome == CallOutcome::Answered || answer.outcome == CallOutcome::Unknown;
    if (didRun)
        replays_.finish(key, answer, currentTime());
    else
        replays_.release(key);
    const auto found = keyedWaiters_.find(key);
    if (found == keyedWaiters_.end())
        return;
    auto waiters = std::move(found->second);
    keyedWaiters_.erase(found);
    for (auto &waiter : waiters)
        waiter->fulfill(CallAnswer(answer));
}

kj::Promise<CallAnswer> UpstreamGate::awaitKeyed(const IdempotencyKey &key,
                                                 std::chrono::microseconds budget)
{
    auto pair = kj::newPromiseAndFulfiller<CallAnswer>();
    keyedWaiters_[key].push_back(kj::mv(pair.fulfiller));
    return parts_.timer.timeoutAfter(toKj(budget), kj::mv(pair.promise))
            .catch_([](kj::Exception && /*exception*/) {
                return CallAnswer::unknown("the request is still running");
            });
}

//==============================================================================
kj::Promise<CallAnswer> UpstreamGate::admitAndSend(kj::Own<CallRequest> request)
{
    CallRequest &call = *request;
    return admit(call)
            .then([this, &call](Place place) -> kj::Promise<CallAnswer> {
                KJ_IF_MAYBE (admission, place)
                    return send(call, kj::mv(*admission));
                return turnAway(call, "the upstream has no room");
            })
            .attach(kj::mv(request));
}

kj::Promise<UpstreamGate::Place> UpstreamGate::admit(const CallRequest &request)
{
    const MonotonicTime now = currentTime();
    const AdmissionQueue::Ticket ticket = ++lastTicket_;
    const AdmissionDecision decision = queue_.arrive(
            traffic::admission::Arrival{ticket, request.route, request.rank(),
                                        now + request.objective, now + request.budget},
            now);
    if (decision == AdmissionDecision::Run)
        return Place(kj::heap<ScopedAdmission>(*this));
    if (decision == AdmissionDecision::Refuse)
        return Place(nullptr);
    auto pair = kj::newPromiseAndFulfiller<Place>();
    auto wait = kj::heap<ScopedWait>(*this, ticket, kj::mv(pair.fulfiller));
    lookLater();
    return parts_.timer.timeoutAfter(toKj(request.budget), kj::mv(pair.promise))
            .catch_([](kj::Exception && /*exception*/) { return Place(nullptr); })
            .attach(kj::mv(wait));
}

kj::Promise<CallAnswer> UpstreamGate::send(CallRequest &request, kj::Own<ScopedAdmission> admission)
{
    callsRun_.add();
    if (!status_)
        return CallAnswer::notRun("the upstream is gone");
    const MonotonicTime begun = currentTime();
    auto registration = kj::heap<traffic::calls::RunningCalls::ScopedCall>(
            running_, request.requestId, request.attempt);
    return upstream_.send(request, *status_)
            .attach(kj::mv(registration))
            .then([this, &request, begun,
                   admission = kj::mv(admission)](CallAnswer &&answer) mutable {
                const auto latency = currentTime() - begun;
                noteEnd(request, answer, latency, *admission);
                answer.served = std::chrono::duration_cast<std::chrono::microseconds>(latency);
                answer.version = request.version;
                return kj::mv(answer);
            });
}

CallAnswer UpstreamGate::turnAway(const CallRequest &request, const std::string &reason)
{
    callsRefused_.add();
    const auto load = queue_.load(currentTime());
    core::events::logCall(core::events::EventCode::CallTurnedAway, "call turned away", false,
                          {{"request", request.requestId},
                           {"route", request.route.value()},
                           {"rank", std::to_string(request.rank())},
                           {"objectiveMs", std::to_string(request.objective.count() / 1000)},
                           {"version", request.version.value()},
                           {"budgetMs", std::to_string(request.budget.count() / 1000)},
                           {"inFlight", std::to_string(load.inFlight)},
                           {"queued", std::to_string(load.queued)},
                           {"limit", std::to_string(load.limit)},
                           {"reason", reason}});
    return CallAnswer::notRun(reason);
}

void UpstreamGate::logServed(const CallRequest &request, const CallAnswer &answer,
                             std::chrono::nanoseconds latency)
{
    const bool isGood = answer.outcome == CallOutcome::Answered && answer.status < 500;
    const auto load = queue_.load(currentTime());
    core::events::logCall(
            core::events::EventCode::CallServed, "call served", isGood,
            {{"request", request.requestId},
             {"route", request.route.value()},
             {"rank", std::to_string(request.rank())},
             {"instance", status_ ? status_->instance : ""},
             {"status", std::to_string(answer.status)},
             {"ms",
              std::to_string(
                      std::chrono::duration_cast<std::chrono::milliseconds>(latency).count())},
             {"inFlight", std::to_string(load.inFlight)},
             {"queued", std::to_string(load.queued)},
             {"limit", std::to_string(load.limit)},
             {"reason", answer.reason}});
}

void UpstreamGate::noteEnd(const CallRequest &request, const CallAnswer &answer,
                           std::chrono::nanoseconds latency, ScopedAdmission &admission)
{
    logServed(request, answer, latency);
    admission.end(request.route, answer, latency);
    if (answer.outcome == CallOutcome::NotRun)
        return;
    const bool isBroken = answer.outcome == CallOutcome::Unknown;
    if (parts_.routing.current()->needsEvidence)
        parts_.evidence(control::moves::CallEvidence{request.service, request.version,
                                                     request.route, answer.isFailure(), isBroken,
                                                     isUpstreamCold(), latency});
    if (++answersSinceStart_ == 1)
        firstAnswerAt_ = currentTime();
}

bool UpstreamGate::isUpstreamCold() const
{
    return answersSinceStart_ < coldAnswers
           && (answersSinceStart_ == 0 || currentTime() - firstAnswerAt_ < coldTime);
}

std::optional<std::string> UpstreamGate::obstacleFor(const CallRequest &request) const
{
    if (!status_ || status_->record.service != request.service)
        return "no upstream of the asked service runs beside this node";
    if (status_->record.version != request.version)
        return "no upstream of the asked version runs beside this node";
    if (status_->record.state != control::membership::UpstreamState::Serving)
        return "the upstream is draining";
    // The caller's node may hold an older view than this one; a refusal here costs it one repeat.
    const Snapshot snapshot = parts_.routing.current();
    const auto *dataCentre = snapshot->intent->dataCentre(snapshot->dataCentre);
    if (dataCentre != nullptr && dataCentre->isOut)
        return "the data centre is out";
    const auto *target = snapshot->targetNamed(request.route);
    if (target != nullptr && !target->shareOf(request.service).mayServe(request.version))
        return "the version takes no calls";
    return std::nullopt;
}

void UpstreamGate::updateLimits()
{
    const Snapshot snapshot = parts_.routing.current();
    if (!status_ || snapshot->intent == limitsIntent_)
        return;
    limitsIntent_ = snapshot->intent;
    updateCold();
    // All routes of the service share the upstream: its strictest limits hold, and the longest
    // queue, which deadlines bound besides.
    limits_ = AdmissionLimits{UpstreamClient::maximumConnections,
                              std::max(1, status_->record.slots), 0};
    for (const auto &target : snapshot->targets) {
        if (target.entry.route.service != status_->record.service)
            continue;
        const auto &settings = target.entry.settings;
        limits_.start = std::min(limits_.start, settings.startConcurrency);
        limits_.maximum = std::min(limits_.maximum, settings.concurrencyLimit);
        limits_.queue = std::max(limits_.queue, settings.queueLimit);
    }
    queue_.setLimits(limits_);
}

void UpstreamGate::pump()
{
    const MonotonicTime now = currentTime();
    for (const AdmissionQueue::Ticket ticket : queue_.takeExpired(now))
        decide(ticket, Place(nullptr));
    for (const AdmissionQueue::Ticket ticket : queue_.takeRunnable(now))
        decide(ticket, Place(kj::heap<ScopedAdmission>(*this)));
}

// While requests wait, time alone changes what may run or has become hopeless.
void UpstreamGate::lookLater()
{
    const auto wait = queue_.untilNextLook(currentTime());
    if (isLookPlanned_ || !wait)
        return;
    isLookPlanned_ = true;
    tasks_.add(parts_.timer.afterDelay(toKj(*wait)).then([this]() {
        isLookPlanned_ = false;
        pump();
        lookLater();
    }));
}

void UpstreamGate::decide(AdmissionQueue::Ticket ticket, Place place)
{
    const auto found = waits_.find(ticket);
    // A place that nobody waits for any more goes back to the queue when it is destroyed.
    if (found == waits_.end())
        return;
    ScopedWait *wait = found->second;
    waits_.erase(found);
    wait->decide(kj::mv(place));
}

void UpstreamGate::taskFailed(kj::Exception && /*exception*/) {}

} // namespace boragetrack::transport::serving
