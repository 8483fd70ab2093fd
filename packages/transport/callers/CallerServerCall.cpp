/** Runs a call: match a route, check the caller's access, read the whole body, perform the plan's
    attempts one after another, respond and log the outcome. */
#include "transport/callers/CallerServerCall.h"

#include "core/events/EventLog.h"
#include "traffic/calls/CallSize.h"
#include "traffic/routing/RecentRouteChange.h"
#include "transport/callers/CallBuilder.h"

namespace boragetrack::transport::callers {

using core::events::EventCode;
using core::timing::MonotonicTime;
using traffic::access::AccessDecision;
using traffic::access::AccessRequest;
using traffic::access::AccessVerdict;
using traffic::calls::CallOutcome;
using traffic::calls::CallRequest;
using traffic::calls::CallResponse;
using traffic::retry::CallPlan;
using traffic::retry::PlanStep;
using traffic::retry::SendAttempt;

namespace {

constexpr int noRouteStatus = 404;
constexpr int unauthorizedStatus = 401;
constexpr int malformedStatus = 400;
constexpr int overdueStatus = 408;
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

EventCode eventOf(const CallResponse &response)
{
    if (response.outcome == CallOutcome::NotRun && response.status == unauthorizedStatus)
        return EventCode::AccessRefused;
    if (response.outcome == CallOutcome::Completed)
        return EventCode::CallAnswered;
    return response.outcome == CallOutcome::NotRun ? EventCode::CallNotRun : EventCode::CallUnknown;
}

} // namespace

CallerServer::Call::Call(CallerServer &server, http::ServerExchange &exchange)
    : server_(server)
    , exchange_(exchange)
    , description_(server.dependencies_.dialect.describe(exchange.head()))
    , snapshot_(server.dependencies_.routing.current())
    , arrivedAt_(exchange.arrivedAt())
    , possibleDelay_(server.dependencies_.pauses.possibleDelay(arrivedAt_))
{
    ++server_.activeCalls_;
    // Upstreams have no keys: a request with one is a caller's own, whatever its identifier.
    if (snapshot_->access->usesKeys() && http::findHeader(exchange_.head().headers, keyHeader))
        description_.parentId.clear();
}

CallerServer::Call::~Call()
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

kj::Promise<void> CallerServer::Call::run()
{
    if (server_.refusesCalls_ && !isNestedCall())
        return respond(CallResponse::notRun("the node is stopping"));
    if (!snapshot_->isServing)
        return respond(CallResponse::notRun("the node has no intent yet"));
    target_ = snapshot_->targetFor(description_.host, pathOf(exchange_.head().target));
    if (target_ == nullptr)
        return respondNoRoute();
    access_ = checkAccess();
    if (access_.verdict != AccessVerdict::Granted)
        return respondWithoutAccess();
    return exchange_.readBodyUpTo(maximumBodyBytes)
            .then([this](http::BodyPiece &&body) { return handleBody(std::move(body)); },
                  [this](kj::Exception &&exception) { return respondUnread(exception); });
}

bool CallerServer::Call::hasRouteChanged() const
{
    return traffic::routing::hasRouteChanged(*server_.dependencies_.routing.current(),
                                             description_.host, pathOf(exchange_.head().target),
                                             currentTime());
}

// The calls that a running call makes are served for as long as it runs, or it would fail.
bool CallerServer::Call::isNestedCall() const
{
    return server_.dependencies_.runningCalls.attemptOf(description_.parentId).has_value();
}

AccessDecision CallerServer::Call::checkAccess() const
{
    AccessRequest request{target_->entry.route};
    for (const auto &field : exchange_.head().headers) {
        if (http::equalsIgnoreCase(field.name, keyHeader))
            request.authorizations.push_back(field.value);
    }
    request.hasNestedForm = !description_.parentId.empty();
    request.parentOrganisation
            = server_.dependencies_.runningCalls.organisationOf(description_.parentId);
    request.areKeysCurrent = server_.dependencies_.keyFreshness.areKeysCurrent(
            *server_.dependencies_.storeContact.current(), arrivedAt_);
    return snapshot_->access->decide(request);
}

kj::Promise<void> CallerServer::Call::handleBody(http::BodyPiece body)
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

kj::Promise<void> CallerServer::Call::perform(PlanStep step)
{
    auto *attempt = std::get_if<SendAttempt>(&step);
    if (attempt == nullptr)
        return respond(std::get<CallResponse>(std::move(step)));
    server_.attempts_.add();
    // A call that was routed before a change may run as the earlier intent says; only a node that
    // still lacks the change is refused.
    attempt->request.intentRevision = server_.dependencies_.routing.current()->intent->revision();
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

CallRequest CallerServer::Call::makeRequest(std::string body)
{
    const auto &route = target_->entry.route;
    CallRequest call
            = buildCall(exchange_.head(), description_, target_->entry, currentTime() - arrivedAt_);
    call.possibleDelay = std::chrono::duration_cast<std::chrono::microseconds>(possibleDelay_);
    call.body = std::move(body);
    call.service = pickService(route, server_.random_);
    call.callerService = server_.dependencies_.service;
    if (const auto attempt = server_.dependencies_.runningCalls.attemptOf(description_.parentId)) {
        call.isNested = true;
        call.attempt = std::max(call.attempt, *attempt);
        // Work for an urgent request is urgent, whichever route it takes.
        call.priority = server_.dependencies_.runningCalls.priorityOf(description_.parentId)
                                .value_or(call.priority);
    }
    if (snapshot_->access->usesKeys())
        applyAccess(call, access_, server_.dependencies_.dialect.organisationHeader());
    return call;
}

//==============================================================================
kj::Promise<void> CallerServer::Call::respond(const CallResponse &response)
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

kj::Promise<void> CallerServer::Call::respondNoRoute()
{
    CallResponse refusal
            = CallResponse::notRun("no route covers " + pathOf(exchange_.head().target));
    refusal.status = noRouteStatus;
    return respond(refusal);
}

// The body is read, but not kept: a refused request does not end its caller's connection.
kj::Promise<void> CallerServer::Call::respondWithoutAccess()
{
    return exchange_.discardBody()
            .catch_([this](kj::Exception && /*exception*/) { exchange_.closeAfterResponse(); })
            .then([this]() {
                CallResponse refusal = CallResponse::notRun(access_.reason);
                if (access_.verdict == AccessVerdict::Unauthorized) {
                    server_.accessRefusals_.add();
                    refusal.status = unauthorizedStatus;
                }
                return respond(refusal);
            });
}

kj::Promise<void> CallerServer::Call::respondTooLarge()
{
    logOutcome(EventCode::CallNotRun, "call ended", CallResponse::notRun("request body too large"));
    exchange_.closeAfterResponse();
    return exchange_.respond(http::ResponseHead{tooLargeStatus, {}}, "request body too large\n");
}

// The rest of the body is not read, so the connection can not carry another request.
kj::Promise<void> CallerServer::Call::respondUnread(const kj::Exception &exception)
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
    const bool isOverdue = exchange_.bodyFault() && exchange_.bodyFault()->status == overdueStatus;
    return exchange_.respond(http::ResponseHead{isOverdue ? overdueStatus : malformedStatus, {}},
                             refusal.reason + "\n");
}

} // namespace boragetrack::transport::callers
