/** The next step of a call. */
#pragma once

#include "traffic/calls/CallRequest.h"
#include "traffic/calls/CallResponse.h"
#include "traffic/routing/Endpoint.h"

#include <variant>

namespace boragetrack::traffic::retry {

/** Asks for an attempt at an endpoint. */
struct SendAttempt
{
    routing::Endpoint endpoint;
    calls::CallRequest request;
};

/** Tells either to send an attempt or what to answer the caller. */
using PlanStep = std::variant<SendAttempt, calls::CallResponse>;

} // namespace boragetrack::traffic::retry
