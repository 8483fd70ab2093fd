/** The input of a retry decision. */
#pragma once

#include "core/identity/ServiceName.h"
#include "traffic/calls/CallResponse.h"

#include <chrono>

namespace boragetrack::traffic::retry {

/** Describes a call whose last attempt did not succeed. */
struct RetryContext
{
    /** The response to the last attempt; not null, and valid during the decision. */
    const calls::CallResponse *response = nullptr;
    core::identity::ServiceName service;
    bool isIdempotent = false;
    /** Attempts so far, without those that a node refused before its upstream. */
    int attempts = 1;
    int attemptLimit = 1;
    /** Retries allowed per 100 calls. */
    int budgetPercent = 0;
    /** The number of nodes that share the reserve. */
    int nodes = 1;
    /** Whether the call is a nested call of a retry. */
    bool isNestedInRetry = false;
    /** The time left until the call's deadline. */
    std::chrono::microseconds remaining{0};
};

} // namespace boragetrack::traffic::retry
