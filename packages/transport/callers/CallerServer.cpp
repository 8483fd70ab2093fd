/** Implements CallerServer. */
#include "transport/callers/CallerServer.h"

#include "core/events/EventLog.h"
#include "traffic/calls/CallSize.h"
#include "transport/callers/CallBuilder.h"

namespace boragetrack::transport::callers {

using core::events::EventCode;
using core::timing::MonotonicTime;
using traffic::calls::CallOutcome;
using traffic::calls::CallRequest;
using traffic::calls::CallResponse;
using traffic::retry::CallPlan;
using traffic::retry::PlanStep;
using traffic::retry::SendAttempt;
using traffic::routing::RouteTarget;
using traffic::routing::RoutingSnapshot;

namespace {

constexpr int noRouteStatus = 404;
constexpr int tooLargeStatus = 413;
// Request bodies are held whole, so that a call can be sent a second time.
constexpr std::size_t heldBodyBytes = std::size_t{1024} * 1024;

MonotonicTime currentTime()
{
    return std::chrono::steady_clock::now();
}

std::string pathOf(const std::string &target)
{
    return target.substr(0, target.find('?'));
}

std::string millisecondsSince(MonotonicTime time)
{
    const auto passed = currentTime() - time;
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(passed).count());
}

EventCode eventOf(const CallResponse &answer)
{
    if (answer.outcome == CallOutcome::Completed)
        return EventCode::CallAnswered;
    return answer.outcome == CallOutcome::NotRun ? EventCode::CallNotRun : EventCode::CallUnknown;
}

std::string nameOf(const CallResponse &answer)
{
    if (answer.outcome == CallOutcome::Completed)
        return std::to_string(answer.status);
    return answer.outcome == CallOutcome::NotRun ? "not-run" : "unknown";
}

} // namespace

/** One call from its request to its answer. */
class CallerServer::Call
{
public:
    Call(CallerServer &server, http::ServerExchange &exchange)
        : server_(server)
        , exchange_(exchange)
        , description_(server.dependencies_.dialect.describe(exchange.head()))
        , snapshot_(server.dependencies_.routing.current())
        , arrivedAt_(currentTime())
    {
        ++server_.activeCalls_;
    }
    ~Call()
    {
        --server_.activeCalls_;
        if (isAnswered_)
            return;
        if (plan_)
            plan_->handleCallerDisconnect();
        logEnd(EventCode::CallerLeft, "caller left", CallResponse{});
    }
    Call(const Call &) = delete;
    Call &operator=(const Call &) = delete;

    kj::Promise<void> run()
    {
        if (server_.refusesCalls_)
            return answer(CallResponse::notRun("the node is stopping"));
        if (!snapshot_->isServing)
            return answer(CallResponse::notRun("the node has no intent yet"));
        target_ = snapshot_->targetFor(description_.host, pathOf(exchange_.head().target));
        if (target_ == nullptr)
            return answerNoRoute();
        return exchange_.readBodyUpTo(heldBodyBytes).then([this](http::BodyPiece &&body) {
            if (!body.isLast)
                return answerTooLarge();
            CallRequest request = makeRequest(std::move(body.bytes));
            if (const auto obstacle = refusalReason(request))
                return answer(CallResponse::notRun(*obstacle));
            plan_.emplace(CallPlan::Shared{server_.dependencies_.routingPolicy,
                                           server_.dependencies_.retryPolicy, server_.loads_},
                          snapshot_, *target_, std::move(request), server_.random_);
            return perform(plan_->start(currentTime()));
        });
    }

private:
    kj::Promise<void> perform(PlanStep step)
    {
        auto *attempt = std::get_if<SendAttempt>(&step);
        if (attempt == nullptr)
            return answer(std::get<CallResponse>(std::move(step)));
        server_.attempts_.add();
        const bool isOther = attempt->endpoint.dataCentre != snapshot_->dataCentre;
        const std::size_t sent = traffic::calls::sizeOf(attempt->request);
        return server_.dependencies_.sender
                .send(attempt->endpoint.node, attempt->endpoint.address, attempt->request)
                .then([this, isOther, sent, node = attempt->endpoint.node](CallResponse &&ended) {
                    notePath(node, ended);
                    if (isOther)
                        server_.bytesToOthers_.add(sent + traffic::calls::sizeOf(ended));
                    return perform(plan_->handleResponse(ended, currentTime()));
                });
    }

    CallRequest makeRequest(std::string body)
    {
        const auto &route = target_->entry.route;
        CallRequest call = buildCall(exchange_.head(), description_, target_->entry,
                                     currentTime() - arrivedAt_);
        call.body = std::move(body);
        call.service = route.split.empty() ? route.service : drawService(route);
        call.callerService = server_.dependencies_.service;
        if (const auto attempt = server_.dependencies_.running.attemptOf(description_.parentId)) {
            call.isNested = true;
            call.attempt = std::max(call.attempt, *attempt);
        }
        return call;
    }

    core::identity::ServiceName drawService(const control::intent::Route &route)
    {
        double total = 0.0;
        for (const auto &part : route.split)
            total += part.weight;
        double point = std::uniform_real_distribution<>(0.0, total)(server_.random_);
        for (const auto &part : route.split) {
            point -= part.weight;
            if (point < 0.0)
                return part.service;
        }
        return route.split.back().service;
    }

    kj::Promise<void> answerNoRoute()
    {
        CallResponse none
                = CallResponse::notRun("no route covers " + pathOf(exchange_.head().target));
        none.status = noRouteStatus;
        return answer(none);
    }

    kj::Promise<void> answerTooLarge()
    {
        logEnd(EventCode::CallNotRun, "call ended", CallResponse::notRun("request body too large"));
        exchange_.closeAfterResponse();
        return exchange_.respond(http::ResponseHead{tooLargeStatus, {}},
                                 "request body too large\n");
    }

    // Adds an attempt to the account of the call: "node:outcome@milliseconds since the arrival".
    void notePath(const core::identity::NodeId &node, const CallResponse &ended)
    {
        path_ += path_.empty() ? "" : ",";
        path_ += node.value() + ":" + nameOf(ended);
        if (ended.outcome != CallOutcome::Completed)
            path_ += "(" + ended.reason + ")";
        path_ += "@" + millisecondsSince(arrivedAt_);
    }

    void logEnd(EventCode code, const char *message, const CallResponse &answer)
    {
        isAnswered_ = true;
        if (code == EventCode::CallAnswered)
            server_.latencies_.add(currentTime() - arrivedAt_);
        const bool isGood = code == EventCode::CallAnswered && answer.status < 500;
        core::events::logCall(
                code, message, isGood,
                {{"request", description_.requestId},
                 {"route", target_ == nullptr ? "" : target_->entry.route.name.value()},
                 {"status", std::to_string(answer.status)},
                 {"ms", millisecondsSince(arrivedAt_)},
                 {"budgetMs",
                  std::to_string(description_.timeLeft.value_or(std::chrono::milliseconds::zero())
                                         .count())},
                 {"intent", std::to_string(snapshot_->intent->revision().number())},
                 {"path", path_},
                 {"reason", answer.reason}});
    }

    kj::Promise<void> answer(const CallResponse &answer)
    {
        logEnd(eventOf(answer), "call ended", answer);
        const dialect::CallDialect &dialect = server_.dependencies_.dialect;
        if (server_.isStopping_)
            exchange_.closeAfterResponse();
        if (answer.outcome == CallOutcome::Completed)
            return exchange_.respond(
                    http::ResponseHead{answer.status, dialect.responseHeaders(answer)},
                    answer.body);
        (answer.outcome == CallOutcome::NotRun ? server_.refusals_ : server_.unknowns_).add();
        return exchange_.respond(dialect.refusalHead(answer), answer.reason + "\n");
    }

    CallerServer &server_;
    http::ServerExchange &exchange_;
    dialect::CallDescription description_;
    std::shared_ptr<const RoutingSnapshot> snapshot_;
    MonotonicTime arrivedAt_;
    const RouteTarget *target_ = nullptr;
    std::optional<CallPlan> plan_;
    std::string path_;
    bool isAnswered_ = false;
};

CallerServer::CallerServer(Dependencies parts)
    : dependencies_(std::move(parts))
    , calls_(dependencies_.counters.counter("calls"))
    , attempts_(dependencies_.counters.counter("call_attempts"))
    , refusals_(dependencies_.counters.counter("calls_not_run"))
    , unknowns_(dependencies_.counters.counter("calls_unknown"))
    , bytesToOthers_(dependencies_.counters.counter("call_bytes_other_data_centres"))
    , latencies_(dependencies_.counters, "call")
{
    loads_.reachability().setListener(&reachLog_);
}

kj::Promise<void> CallerServer::handle(http::ServerExchange &exchange)
{
    calls_.add();
    auto call = kj::heap<Call>(*this, exchange);
    auto running = call->run();
    return running.attach(kj::mv(call));
}

http::ServerLimits CallerServer::limits() const
{
    const auto &limits = dependencies_.routing.current()->intent->document().callerLimits;
    return http::ServerLimits{
            {limits.headerBytes, limits.bodyBytes}, limits.headerTimeout, limits.idleTimeout};
}

} // namespace boragetrack::transport::callers
