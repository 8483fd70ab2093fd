/** A call from a caller to an upstream. */
#pragma once

#include "core/identity/IdempotencyKey.h"
#include "core/identity/OrganisationName.h"
#include "core/identity/Revision.h"
#include "core/identity/RouteName.h"
#include "core/identity/ServiceName.h"
#include "core/identity/VersionName.h"
#include "core/timing/MonotonicTime.h"
#include "traffic/calls/HeaderField.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace boragetrack::traffic::calls {

/** Holds a caller's request together with the properties that the node derived for it. */
struct CallRequest
{
    /** The caller's id of this request; empty when it gave none. */
    std::string requestId;
    std::string method;
    /** Path and query. */
    std::string target;
    std::vector<HeaderField> headers;
    std::string body;
    core::identity::RouteName route;
    core::identity::ServiceName service;
    /** The revision of the intent in force on the sender when it sent the call; zero if it did not
        tell. */
    core::identity::Revision intentRevision;
    /** The version that routing chose. */
    core::identity::VersionName version;
    /** The service on whose VM the call started. */
    core::identity::ServiceName callerService;
    /** The organisation that the request belongs to; empty if there is none. */
    core::identity::OrganisationName organisation;
    /** Whether the call may run more than once. */
    bool isIdempotent = false;
    /** Whether a running request waits for this call. */
    bool isNested = false;
    /** The priority under overload; 0 is the most urgent. */
    int priority = 0;
    /** The rate at which the sender's intent lets a cold upstream of the service get calls, in
        requests per second; zero for no limit, nothing if the sender did not tell. */
    std::optional<double> coldRate;
    /** The time left until the latency objective; negative when it has passed. */
    std::chrono::microseconds objective{0};
    /** The idempotency key; empty when the caller gave none. */
    core::identity::IdempotencyKey key;
    /** The time left until the deadline. */
    std::chrono::microseconds budget{0};
    /** How much of the budget may have passed before this node read the call, because the node was
        paused; not sent to other nodes. A call is not begun when its time may have passed, but one
        that was begun keeps its whole budget. */
    std::chrono::microseconds possibleDelay{0};
    /** When this node received the call; not sent to other nodes. */
    core::timing::MonotonicTime receivedAt{};
    /** The depth of nesting, counting this call. */
    int hops = 0;
    /** 1 for the first attempt; passed on to nested calls, so that those of a retry are not
        retried. */
    int attempt = 1;

    /** Takes time that has passed from the time left. */
    void deductTime(std::chrono::nanoseconds elapsed)
    {
        const auto passed = std::chrono::duration_cast<std::chrono::microseconds>(elapsed);
        budget -= passed;
        objective -= passed;
    }

    /** Returns whether the deadline has passed, or may have. */
    bool isExpired() const { return budget <= possibleDelay; }

    /** Returns the priority rank in queues: nested calls have rank 0 and precede all others. */
    int rank() const { return isNested ? 0 : 1 + priority; }
};

} // namespace boragetrack::traffic::calls
