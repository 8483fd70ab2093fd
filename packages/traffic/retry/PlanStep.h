/** The next action that a CallPlan asks for. */
#pragma once

#include "traffic/calls/CallRequest.h"
#include "traffic/calls/CallResponse.h"
#include "traffic/routing/Endpoint.h"

#include <variant>

namespace boragetrack::traffic::retry {

/** Sends a request to an endpoint. */
struct SendAttempt
{
    routing::Endpoint endpoint;
    calls::CallRequest request;
};

/** Either an attempt to send, or the final response to the caller. */
using PlanStep = std::variant<SendAttempt, calls::CallResponse>;

} // namespace boragetrack::traffic::retry
