/** Runs each call: match a route, read the whole body, perform the plan's attempts one after
    another, respond and log the outcome. */
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
constexpr int malformedStatus = 400;
constexpr int tooLargeStatus = 413;
// When a caller may return whose body found no room in memory; those of others are sent on within
// about this time.
constexpr std::chrono::milliseconds overloadRetryDelay{200};
// Request bodies are buffered whole, so that a retry can send them again. The operators' limit
// holds below this one, which fits the messages between nodes.
constexpr std::size_t maximumBodyBytes = std::size_t{8} * 1024 * 1024;

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
    const auto elapsed = currentTime() - time;
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count());
}

EventCode eventOf(const CallResponse &response)
{
    if (response.outcome == CallOutcome::Completed)
        return EventCode::CallAnswered;
    return response.outcome == CallOutcome::NotRun ? EventCode::CallNotRun : EventCode::CallUnknown;
}

std::string outcomeText(const CallResponse &response)
{
    if (response.outcome == CallOutcome::Completed)
        return std::to_string(response.status);
    return response.outcome == CallOutcome::NotRun ? "not-run" : "unknown";
}

} // namespace

/** Carries one call from its request to its response; destroyed early when the caller
    disconnects. */
class CallerServer::Call
{
public:
    Call(CallerServer &server, http::ServerExchange &exchange)
        : server_(server)
        , exchange_(exchange)
        , description_(server.dependencies_.dialect.describe(exchange.head()))
        , snapshot_(server.dependencies_.routing.current())
        , arrivedAt_(exchange.arrivedAt())
        , possibleDelay_(server.dependencies_.pauses.possibleDelay(arrivedAt_))
    {
        ++server_.activeCalls_;
    }
    ~Call()
    {
        --server_.activeCalls_;
        if (hasEnded_)
            return;
        if (plan_)
            plan_->handleCallerDisconnect();
        if (!fault_.empty())
            logCut(fault_);
        else if (server_.hasLoopEnded_)
            logCut("the node stopped");
        else
            logCallerLeft();
    }
    Call(const Call &) = delete;
    Call &operator=(const Call &) = delete;

    kj::Promise<void> run()
    {
        if (server_.refusesCalls_ && !isNestedCall())
            return respond(CallResponse::notRun("the node is stopping"));
        if (!snapshot_->isServing)
            return respond(CallResponse::notRun("the node has no intent yet"));
        target_ = snapshot_->targetFor(description_.host, pathOf(exchange_.head().target));
        if (target_ == nullptr)
            return respondNoRoute();
        return exchange_.readBodyUpTo(maximumBodyBytes)
                .then([this](http::BodyPiece &&body) { return handleBody(std::move(body)); },
                      [this](kj::Exception &&exception) { return respondUnread(exception); });
    }

    /** Handles an exception that ends the call without a response. */
    void handleFault(const kj::Exception &exception) { fault_ = exception.getDescription().cStr(); }

private:
    // The calls that a running call makes are served for as long as it runs, or it would fail.
    bool isNestedCall() const
    {
        return server_.dependencies_.runningCalls.attemptOf(description_.parentId).has_value();
    }

    kj::Promise<void> handleBody(http::BodyPiece body)
    {
        if (!body.isLast)
            return respondTooLarge();
        CallRequest request = makeRequest(std::move(body.bytes));
        if (const auto reason = refusalReason(request))
            return respond(CallResponse::notRun(*reason));
        plan_.emplace(CallPlan::Dependencies{server_.dependencies_.routingPolicy,
                                             server_.dependencies_.retryPolicy, server_.loads_},
                      snapshot_, *target_, std::move(request), server_.random_);
        return perform(plan_->start(currentTime()));
    }

    kj::Promise<void> perform(PlanStep step)
    {
        auto *attempt = std::get_if<SendAttempt>(&step);
        if (attempt == nullptr)
            return respond(std::get<CallResponse>(std::move(step)));
        server_.attempts_.add();
        const bool isCrossDataCentre = attempt->endpoint.dataCentre != snapshot_->dataCentre;
        const std::size_t requestBytes = traffic::calls::sizeOf(attempt->request);
        return server_.dependencies_.sender
                .send(attempt->endpoint.node, attempt->endpoint.address, attempt->request)
                .then([this, isCrossDataCentre, requestBytes,
                       node = attempt->endpoint.node](CallResponse &&response) {
                    recordAttempt(node, response);
                    if (isCrossDataCentre)
                        server_.crossDataCentreBytes_.add(requestBytes
                                                          + traffic::calls::sizeOf(response));
                    return perform(plan_->handleResponse(response, currentTime()));
                });
    }

    CallRequest makeRequest(std::string body)
    {
        const auto &route = target_->entry.route;
        CallRequest call = buildCall(exchange_.head(), description_, target_->entry,
                                     currentTime() - arrivedAt_);
        call.possibleDelay = std::chrono::duration_cast<std::chrono::microseconds>(possibleDelay_);
        call.body = std::move(body);
        call.service = route.split.empty() ? route.service : pickService(route);
        call.callerService = server_.dependencies_.service;
        if (const auto attempt
            = server_.dependencies_.runningCalls.attemptOf(description_.parentId)) {
            call.isNested = true;
            call.attempt = std::max(call.attempt, *attempt);
        }
        return call;
    }

    // Picks one of a split route's services at random, in proportion to the weights.
    core::identity::ServiceName pickService(const control::intent::Route &route)
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

    kj::Promise<void> respondNoRoute()
    {
        CallResponse refusal
                = CallResponse::notRun("no route covers " + pathOf(exchange_.head().target));
        refusal.status = noRouteStatus;
        return respond(refusal);
    }

    kj::Promise<void> respondTooLarge()
    {
        logOutcome(EventCode::CallNotRun, "call ended",
                   CallResponse::notRun("request body too large"));
        exchange_.closeAfterResponse();
        return exchange_.respond(http::ResponseHead{tooLargeStatus, {}},
                                 "request body too large\n");
    }

    // The rest of the body is not read, so the connection can not carry another request.
    kj::Promise<void> respondUnread(const kj::Exception &exception)
    {
        exchange_.closeAfterResponse();
        CallResponse refusal = CallResponse::notRun(exception.getDescription().cStr());
        if (exception.getType() == kj::Exception::Type::OVERLOADED) {
            refusal.retryAfter = overloadRetryDelay;
            return respond(refusal);
        }
        if (exchange_.bodyFault() && exchange_.bodyFault()->status == tooLargeStatus)
            return respondTooLarge();
        logOutcome(EventCode::CallNotRun, "call ended", refusal);
        return exchange_.respond(http::ResponseHead{malformedStatus, {}}, refusal.reason + "\n");
    }

    // Appends an attempt to the log field "path", as "node:outcome@milliseconds since the arrival".
    void recordAttempt(const core::identity::NodeId &node, const CallResponse &response)
    {
        path_ += path_.empty() ? "" : ",";
        path_ += node.value() + ":" + outcomeText(response);
        if (response.outcome != CallOutcome::Completed)
            path_ += "(" + response.reason + ")";
        path_ += "@" + millisecondsSince(arrivedAt_);
    }

    void logOutcome(EventCode code, const char *message, const CallResponse &response)
    {
        hasEnded_ = true;
        if (!response.isSuccess())
            server_.dependencies_.runningCalls.recordFailedNestedCall(description_.parentId);
        if (code == EventCode::CallAnswered)
            server_.latencies_.add(currentTime() - arrivedAt_);
        const bool isGood = code == EventCode::CallAnswered && response.status < 500;
        core::events::logCall(
                code, message, isGood,
                {{"request", description_.requestId},
                 {"route", target_ == nullptr ? "" : target_->entry.route.name.value()},
                 {"status", std::to_string(response.status)},
                 {"ms", millisecondsSince(arrivedAt_)},
                 {"budgetMs",
                  std::to_string(description_.timeLeft.value_or(std::chrono::milliseconds::zero())
                                         .count())},
                 {"intent", std::to_string(snapshot_->intent->revision().number())},
                 {"path", path_},
                 {"reason", response.reason}});
    }

    void logCallerLeft()
    {
        server_.callersLeft_.add();
        logOutcome(EventCode::CallerLeft, "caller disconnected", CallResponse{});
    }

    void logCut(const std::string &reason)
    {
        server_.cutCalls_.add();
        logOutcome(EventCode::CallCut, "call cut", CallResponse::unknown(reason));
    }

    kj::Promise<void> respond(const CallResponse &response)
    {
        logOutcome(eventOf(response), "call ended", response);
        // The request is not needed any longer, while the caller may take its time to read.
        plan_.reset();
        const dialect::CallDialect &dialect = server_.dependencies_.dialect;
        if (server_.isStopping_)
            exchange_.closeAfterStarted();
        if (response.outcome == CallOutcome::Completed)
            return exchange_.respond(
                    http::ResponseHead{response.status, dialect.responseHeaders(response)},
                    response.body);
        (response.outcome == CallOutcome::NotRun ? server_.refusals_ : server_.unknowns_).add();
        return exchange_.respond(dialect.refusalHead(response), response.reason + "\n");
    }

    CallerServer &server_;
    http::ServerExchange &exchange_;
    dialect::CallDescription description_;
    std::shared_ptr<const RoutingSnapshot> snapshot_;
    MonotonicTime arrivedAt_;
    // How long the request may have waited before it was read, because the process was paused.
    std::chrono::nanoseconds possibleDelay_;
    // Part of snapshot_; null until a route was matched.
    const RouteTarget *target_ = nullptr;
    std::optional<CallPlan> plan_;
    std::string path_;
    // Why the call ends without a response; empty if no exception ended it.
    std::string fault_;
    bool hasEnded_ = false;
};

CallerServer::CallerServer(Dependencies dependencies)
    : dependencies_(std::move(dependencies))
    , calls_(dependencies_.counters.counter("calls"))
    , attempts_(dependencies_.counters.counter("call_attempts"))
    , refusals_(dependencies_.counters.counter("calls_not_run"))
    , unknowns_(dependencies_.counters.counter("calls_unknown"))
    , callersLeft_(dependencies_.counters.counter("calls_caller_left"))
    , cutCalls_(dependencies_.counters.counter("calls_cut"))
    , crossDataCentreBytes_(dependencies_.counters.counter("call_bytes_other_data_centres"))
    , latencies_(dependencies_.counters, "call")
{
    loads_.reachability().setListener(&reachabilityLog_);
}

kj::Promise<void> CallerServer::handle(http::ServerExchange &exchange)
{
    calls_.add();
    auto call = kj::heap<Call>(*this, exchange);
    Call &started = *call;
    auto running = started.run().catch_([&started](kj::Exception &&exception) -> kj::Promise<void> {
        started.handleFault(exception);
        return kj::mv(exception);
    });
    return running.attach(kj::mv(call));
}

bool CallerServer::isConcurrent(const http::RequestHead &head) const
{
    const auto snapshot = dependencies_.routing.current();
    if (!snapshot->isServing)
        return false;
    const RouteTarget *target
            = snapshot->targetFor(dependencies_.dialect.describe(head).host, pathOf(head.target));
    return target != nullptr && target->entry.route.isIdempotent;
}

http::ServerLimits CallerServer::limits() const
{
    const auto &limits = dependencies_.routing.current()->intent->document().callerLimits;
    return http::ServerLimits{
            {limits.headerBytes, limits.bodyBytes}, limits.headerTimeout, limits.idleTimeout};
}

} // namespace boragetrack::transport::callers
