/** Implements KeyedCalls. */
#include "transport/serving/KeyedCalls.h"

#include "core/events/EventLog.h"

namespace boragetrack::transport::serving {

using core::identity::IdempotencyKey;
using traffic::calls::CallOutcome;
using traffic::calls::CallRequest;
using traffic::calls::CallResponse;
using traffic::deduplication::ClaimQuorum;
using traffic::deduplication::ReplayState;

namespace {

core::timing::MonotonicTime currentTime()
{
    return std::chrono::steady_clock::now();
}

} // namespace

bool KeyedCalls::hasResponse(const IdempotencyKey &key) const
{
    return replays_.response(key).has_value();
}

kj::Promise<CallResponse> KeyedCalls::serve(kj::Own<CallRequest> request)
{
    replays_.expire(currentTime());
    const IdempotencyKey key = request->key;
    const auto budget = request->budget;
    switch (replays_.begin(key)) {
    case ReplayState::Finished:
        ++replayed_;
        return *replays_.response(key);
    case ReplayState::Running:
        ++replayed_;
        return await(key, budget);
    case ReplayState::New:
        break;
    }
    if (!replays_.hasRoom()) {
        replays_.release(key);
        return CallResponse::notRun("too many keyed requests are remembered");
    }
    auto answer = await(key, budget);
    start(kj::mv(request));
    return answer;
}

void KeyedCalls::start(kj::Own<CallRequest> request)
{
    // A keyed request runs to its end even when its caller goes, so that a repeat gets its answer.
    CallRequest &call = *request;
    const IdempotencyKey key = call.key;
    const Snapshot snapshot = dependencies_.routing.current();
    auto running = dependencies_.desk.admit(call).then(
            [this, &call,
             snapshot](AdmissionController::OptionalPermit place) -> kj::Promise<CallResponse> {
                KJ_IF_MAYBE (admitted, place)
                    return claimAndSend(call, kj::mv(*admitted), snapshot);
                return CallResponse::notRun("the upstream has no room");
            });
    tasks_.add(running.catch_([](kj::Exception &&exception) {
                          return CallResponse::unknown(exception.getDescription().cStr());
                      })
                       .then([this, key](CallResponse &&answer) { finish(key, answer); })
                       .attach(kj::mv(request)));
}

kj::Promise<CallResponse> KeyedCalls::claimAndSend(CallRequest &request,
                                                   kj::Own<AdmissionController::ScopedPermit> place,
                                                   const Snapshot &snapshot)
{
    return dependencies_.claims.claim(request.key, dependencies_.process, snapshot->registrars)
            .then([this, &request, snapshot, place = kj::mv(place)](
                          const ClaimQuorum &ballot) mutable -> kj::Promise<CallResponse> {
                const auto releaseWith = [this, &request, snapshot](const CallResponse &answer) {
                    return dependencies_.claims
                            .release(request.key, dependencies_.process, snapshot->registrars)
                            .then([answer]() { return answer; });
                };
                if (ballot.isGranted()) {
                    return dependencies_.send(request, kj::mv(place))
                            .then([releaseWith](
                                          CallResponse &&answer) -> kj::Promise<CallResponse> {
                                if (answer.outcome == CallOutcome::NotRun)
                                    return releaseWith(answer);
                                return kj::mv(answer);
                            });
                }
                CallResponse refusal = CallResponse::notRun("too few registrars of the key answer");
                if (!ballot.conflictingHolder().isEmpty()) {
                    refusal.outcome = CallOutcome::Claimed;
                    refusal.claimHolder = ballot.conflictingHolder();
                }
                return releaseWith(refusal);
            });
}

void KeyedCalls::finish(const IdempotencyKey &key, const CallResponse &answer)
{
    const bool didRun
            = answer.outcome == CallOutcome::Completed || answer.outcome == CallOutcome::Unknown;
    if (didRun)
        replays_.finish(key, answer, currentTime());
    else
        replays_.release(key);
    const auto found = waiters_.find(key);
    if (found == waiters_.end())
        return;
    auto waiters = std::move(found->second);
    waiters_.erase(found);
    for (auto &waiter : waiters)
        waiter->fulfill(CallResponse(answer));
}

kj::Promise<CallResponse> KeyedCalls::await(const IdempotencyKey &key,
                                            std::chrono::microseconds budget)
{
    auto pair = kj::newPromiseAndFulfiller<CallResponse>();
    waiters_[key].push_back(kj::mv(pair.fulfiller));
    return dependencies_.timer.timeoutAfter(budget.count() * kj::MICROSECONDS, kj::mv(pair.promise))
            .catch_([](kj::Exception && /*exception*/) {
                return CallResponse::unknown("the request is still running");
            });
}

void KeyedCalls::taskFailed(kj::Exception &&exception)
{
    core::events::logEvent(core::events::EventCode::InternalFault, "keyed call failed",
                           {{"error", exception.getDescription().cStr()}});
}

} // namespace boragetrack::transport::serving
