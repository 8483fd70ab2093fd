/** The course of one call of a caller. */
#pragma once

#include "traffic/access/AccessDecision.h"
#include "transport/callers/CallerServer.h"

#include <optional>
#include <string>

namespace boragetrack::transport::callers {

/** Carries one call from its request to its response; destroyed early when the caller
    disconnects. */
class CallerServer::Call
{
public:
    /** @param server and @param exchange outlive the call */
    Call(CallerServer &server, http::ServerExchange &exchange);
    ~Call();
    Call(const Call &) = delete;
    Call &operator=(const Call &) = delete;

    /** Serves the call until its response is written. */
    kj::Promise<void> run();

    /** Handles an exception that ends the call without a response. */
    void handleFault(const kj::Exception &exception) { fault_ = exception.getDescription().cStr(); }

private:
    bool isNestedCall() const;
    traffic::access::AccessDecision checkAccess() const;
    kj::Promise<void> handleBody(http::BodyPiece body);
    kj::Promise<void> perform(traffic::retry::PlanStep step);
    traffic::calls::CallRequest makeRequest(std::string body);

    kj::Promise<void> respond(const traffic::calls::CallResponse &response);
    kj::Promise<void> respondNoRoute();
    kj::Promise<void> respondWithoutAccess();
    kj::Promise<void> respondTooLarge();
    kj::Promise<void> respondUnread(const kj::Exception &exception);

    /** Returns whether a change of the intent has just touched the call's route. */
    bool hasRouteChanged() const;
    void recordAttempt(const core::identity::NodeId &node,
                       const traffic::calls::CallResponse &response);
    void logOutcome(core::events::EventCode code, const char *message,
                    const traffic::calls::CallResponse &response);
    void logCallerLeft();
    void logCut(const std::string &reason);

    CallerServer &server_;
    http::ServerExchange &exchange_;
    dialect::CallDescription description_;
    std::shared_ptr<const traffic::routing::RoutingSnapshot> snapshot_;
    core::timing::MonotonicTime arrivedAt_;
    // How long the request may have waited before it was read, because the process was paused.
    std::chrono::nanoseconds possibleDelay_;
    // Part of snapshot_; null until a route was matched.
    const traffic::routing::RouteTarget *target_ = nullptr;
    traffic::access::AccessDecision access_;
    std::optional<traffic::retry::CallPlan> plan_;
    std::string path_;
    // Why the call ends without a response; empty if no exception ended it.
    std::string fault_;
    bool hasEnded_ = false;
};

} // namespace boragetrack::transport::callers
