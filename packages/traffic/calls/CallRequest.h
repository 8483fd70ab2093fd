/** A call on its way to an upstream. */
#pragma once

#include "core/identity/IdempotencyKey.h"
#include "core/identity/RouteName.h"
#include "core/identity/ServiceName.h"
#include "core/identity/VersionName.h"
#include "traffic/calls/HeaderField.h"

#include <chrono>
#include <string>
#include <vector>

namespace boragetrack::traffic::calls {

/** Holds a caller's request and what the system decided about it. */
struct CallRequest
{
    /** The caller's own name for this request; empty without one. */
    std::string requestId;
    std::string method;
    /** Path and query. */
    std::string target;
    std::vector<HeaderField> headers;
    std::string body;
    core::identity::RouteName route;
    core::identity::ServiceName service;
    /** The version that routing chose. */
    core::identity::VersionName version;
    /** The service on whose VM the call began. */
    core::identity::ServiceName callerService;
    /** Whether the call may run more than once. */
    bool isIdempotent = false;
    /** Whether a running request waits for this call. */
    bool isNested = false;
    /** The rank among calls when there is not room for all; 0 is the most urgent. */
    int priority = 0;
    /** What remains of the time within which an answer is worth most; may be negative. */
    std::chrono::microseconds objective{0};
    core::identity::IdempotencyKey key;
    /** The time that is left. */
    std::chrono::microseconds budget{0};
    /** Calls that this one is nested in. */
    int hops = 0;
    /** One for the first attempt; carried along, so that nested calls of a repeat do not repeat. */
    int attempt = 1;

    /** Returns the rank in queues: calls that a running request waits for go before new ones. */
    int rank() const { return isNested ? 0 : 1 + priority; }
};

} // namespace boragetrack::traffic::calls
