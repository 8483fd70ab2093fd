/** The log lines of callers' calls. */
#include "core/events/AgeText.h"
#include "core/events/EventLog.h"
#include "transport/callers/CallerServerCall.h"

namespace boragetrack::transport::callers {

using core::events::EventCode;
using core::timing::MonotonicTime;
using traffic::calls::CallOutcome;
using traffic::calls::CallResponse;

namespace {

MonotonicTime currentTime()
{
    return std::chrono::steady_clock::now();
}

std::string millisecondsSince(MonotonicTime time)
{
    const auto elapsed = currentTime() - time;
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count());
}

std::string outcomeText(const CallResponse &response)
{
    if (response.outcome == CallOutcome::Completed)
        return std::to_string(response.status);
    return response.outcome == CallOutcome::NotRun ? "not-run" : "unknown";
}

} // namespace

// Appends an attempt to the log field "path", as "node:outcome@milliseconds since the arrival".
void CallerServer::Call::recordAttempt(const core::identity::NodeId &node,
                                       const CallResponse &response)
{
    path_ += path_.empty() ? "" : ",";
    path_ += node.value() + ":" + outcomeText(response);
    if (response.outcome != CallOutcome::Completed)
        path_ += "(" + response.reason + ")";
    path_ += "@" + millisecondsSince(arrivedAt_);
}

void CallerServer::Call::logOutcome(EventCode code, const char *message,
                                    const CallResponse &response)
{
    hasEnded_ = true;
    if (!response.isSuccess())
        server_.dependencies_.runningCalls.recordFailedNestedCall(description_.parentId);
    if (code == EventCode::CallAnswered)
        server_.latencies_.add(currentTime() - arrivedAt_);
    const bool isGood = code == EventCode::CallAnswered && response.status < 500;
    const auto log
            = hasRouteChanged() ? core::events::logCallOnChangedRoute : core::events::logCall;
    log(code, message, isGood,
        {{"request", description_.requestId},
         {"route", target_ == nullptr ? "" : target_->entry.route.name.value()},
         {"status", std::to_string(response.status)},
         {"ms", millisecondsSince(arrivedAt_)},
         {"budgetMs",
          std::to_string(
                  description_.timeLeft.value_or(std::chrono::milliseconds::zero()).count())},
         {"intent", std::to_string(snapshot_->intent->revision().number())},
         {"intentNumber", std::to_string(snapshot_->intent->document().number.number())},
         {"intentFrom", snapshot_->origin->from},
         {"intentMs", core::events::ageText(snapshot_->intentAge(currentTime()))},
         {"path", path_},
         {"reason", response.reason}});
}

void CallerServer::Call::logCallerLeft()
{
    server_.callersLeft_.add();
    logOutcome(EventCode::CallerLeft, "caller disconnected", CallResponse{});
}

void CallerServer::Call::logCut(const std::string &reason)
{
    server_.cutCalls_.add();
    logOutcome(EventCode::CallCut, "call cut", CallResponse::unknown(reason));
}

} // namespace boragetrack::transport::callers
