/** Implements CallerModel. */
#include "emulator/model/CallerModel.h"

namespace boragetrack::emulator::model {

using account::RequestEnd;
using traffic::calls::CallOutcome;
using traffic::calls::CallRequest;
using traffic::calls::CallResponse;

namespace {
// Between a caller and its node, one way.
constexpr std::chrono::milliseconds callerTrip{1};
// A caller waits for its return no longer than a part of its time, whatever it is told.
constexpr int longestReturnPart = 3;
} // namespace

/** One request with all its tries. */
struct CallerModel::Request
{
    const plan::KindPlan *kind = nullptr;
    core::timing::MonotonicTime begunAt;
    int repeatsLeft = 0;
    bool isImpatient = false;
    bool isClosed = false;
};

void CallerModel::request(const plan::KindPlan &kind, int repeats, bool isImpatient)
{
    auto request = std::make_shared<Request>();
    request->kind = &kind;
    request->begunAt = parts_.clock.now();
    request->repeatsLeft = repeats;
    request->isImpatient = isImpatient;
    parts_.clock.after(kind.deadline, [this, request]() { close(request, RequestEnd::Failed); });
    attempt(request);
}

void CallerModel::attempt(const std::shared_ptr<Request> &request)
{
    if (request->isClosed)
        return;
    const plan::KindPlan &kind = *request->kind;
    const auto passed = parts_.clock.now() - request->begunAt;
    CallRequest call;
    call.requestId = parts_.dataCentre + std::to_string(++lastId_);
    call.route = core::identity::RouteName(kind.name);
    call.service = core::identity::ServiceName(kind.service);
    call.isIdempotent = kind.isIdempotent;
    call.priority = kind.priority;
    // A node knows nothing of a caller's earlier tries.
    call.objective = kind.objective;
    call.budget = std::chrono::duration_cast<std::chrono::microseconds>(kind.deadline - passed);
    CallSink &node = parts_.chooseNode();
    parts_.clock.after(callerTrip, [this, request, call, &node]() {
        node.call(call, [this, request](const CallResponse &answer) {
            parts_.clock.after(callerTrip, [this, request, answer]() { ended(request, answer); });
        });
    });
}

void CallerModel::ended(const std::shared_ptr<Request> &request, const CallResponse &answer)
{
    if (request->isClosed)
        return;
    const plan::KindPlan &kind = *request->kind;
    const auto passed = parts_.clock.now() - request->begunAt;
    if (answer.outcome == CallOutcome::Completed && !answer.isFailure()) {
        close(request, passed <= kind.objective ? RequestEnd::InTime : RequestEnd::Late);
        return;
    }
    const bool isRefused = answer.outcome == CallOutcome::NotRun;
    const bool mayRepeat = isRefused || kind.isIdempotent;
    if (!mayRepeat || request->repeatsLeft == 0) {
        close(request, isRefused ? RequestEnd::Refused : RequestEnd::Failed);
        return;
    }
    --request->repeatsLeft;
    const std::chrono::nanoseconds longest = (kind.deadline - passed) / longestReturnPart;
    const std::chrono::nanoseconds told
            = answer.retryAfter.value_or(std::chrono::milliseconds::zero());
    const auto pause
            = request->isImpatient ? std::chrono::nanoseconds::zero() : std::min(told, longest);
    parts_.clock.after(pause, [this, request]() { attempt(request); });
}

void CallerModel::close(const std::shared_ptr<Request> &request, RequestEnd end)
{
    if (request->isClosed)
        return;
    request->isClosed = true;
    const std::chrono::duration<double> since = request->begunAt - clock::EventClock::start;
    parts_.account.note(*request->kind, parts_.dataCentre, static_cast<int>(since.count()), end);
}

} // namespace boragetrack::emulator::model
