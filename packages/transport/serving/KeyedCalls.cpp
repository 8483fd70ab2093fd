/** The first call of a key is admitted, claimed at the registrars and sent, in this order; its
    duplicates wait for the outcome. The claim is released when the call did not run. */
#include "transport/serving/KeyedCalls.h"

#include "core/events/EventLog.h"
#include "transport/timing/Deadline.h"

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
        return awaitResponse(key, budget);
    case ReplayState::New:
        break;
    }
    if (!replays_.hasRoom()) {
        replays_.release(key);
        return CallResponse::notRun("the table of keyed requests is full");
    }
    auto response = awaitResponse(key, budget);
    start(kj::mv(request));
    return response;
}

void KeyedCalls::start(kj::Own<CallRequest> request)
{
    // A keyed request runs to its end even when its caller disconnects, so that a duplicate can
    // receive the response.
    CallRequest &call = *request;
    const IdempotencyKey key = call.key;
    const Snapshot snapshot = dependencies_.routing.current();
    auto running = dependencies_.admission.admit(call).then(
            [this, &call,
             snapshot](AdmissionController::OptionalPermit permit) -> kj::Promise<CallResponse> {
                KJ_IF_MAYBE (admitted, permit)
                    return claimAndSend(call, kj::mv(*admitted), snapshot);
                return CallResponse::notRun("the upstream is at capacity");
            });
    tasks_.add(running.catch_([](kj::Exception &&exception) {
                          return CallResponse::unknown(exception.getDescription().cStr());
                      })
                       .then([this, key](CallResponse &&response) { finish(key, response); })
                       .attach(kj::mv(request)));
}

kj::Promise<CallResponse>
KeyedCalls::claimAndSend(CallRequest &request, kj::Own<AdmissionController::ScopedPermit> permit,
                         const Snapshot &snapshot)
{
    return dependencies_.claims
            .claim(request.key, dependencies_.process, snapshot->members->registrars)
            .then([this, &request, snapshot, permit = kj::mv(permit)](
                          const ClaimQuorum &quorum) mutable -> kj::Promise<CallResponse> {
                const auto releaseAndReturn
                        = [this, &request, snapshot](const CallResponse &response) {
                              return dependencies_.claims
                                      .release(request.key, dependencies_.process,
                                               snapshot->members->registrars)
                                      .then([response]() { return response; });
                          };
                if (quorum.isGranted()) {
                    return dependencies_.send(request, kj::mv(permit))
                            .then([releaseAndReturn](
                                          CallResponse &&response) -> kj::Promise<CallResponse> {
                                if (response.outcome == CallOutcome::NotRun)
                                    return releaseAndReturn(response);
                                return kj::mv(response);
                            });
                }
                CallResponse refusal
                        = CallResponse::notRun("too few registrars granted the idempotency key");
                if (!quorum.conflictingHolder().isEmpty()) {
                    refusal.outcome = CallOutcome::Claimed;
                    refusal.claimHolder = quorum.conflictingHolder();
                }
                return releaseAndReturn(refusal);
            });
}

void KeyedCalls::finish(const IdempotencyKey &key, const CallResponse &response)
{
    const bool mayHaveRun = response.outcome == CallOutcome::Completed
                            || response.outcome == CallOutcome::Unknown;
    if (mayHaveRun)
        replays_.finish(key, response, currentTime());
    else
        replays_.release(key);
    const auto found = waiters_.find(key);
    if (found == waiters_.end())
        return;
    auto waiters = std::move(found->second);
    waiters_.erase(found);
    for (auto &waiter : waiters)
        waiter->fulfill(CallResponse(response));
}

kj::Promise<CallResponse> KeyedCalls::awaitResponse(const IdempotencyKey &key,
                                                    std::chrono::microseconds budget)
{
    auto pair = kj::newPromiseAndFulfiller<CallResponse>();
    waiters_[key].push_back(kj::mv(pair.fulfiller));
    return timing::resultWithin(dependencies_.timer, budget.count() * kj::MICROSECONDS,
                                kj::mv(pair.promise))
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
