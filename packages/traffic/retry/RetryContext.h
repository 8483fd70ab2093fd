/** What a retry policy decides upon. */
#pragma once

#include "core/identity/ServiceName.h"
#include "traffic/calls/CallResponse.h"

#include <chrono>

namespace boragetrack::traffic::retry {

/** Describes a call whose last attempt brought no good answer. */
struct RetryContext
{
    const calls::CallResponse *answer = nullptr;
    core::identity::ServiceName service;
    bool isIdempotent = false;
    /** Attempts so far. */
    int attempts = 1;
    int attemptLimit = 1;
    /** Repeats allowed per 100 calls. */
    int budgetPercent = 0;
    /** The nodes that share a budget. */
    int nodes = 1;
    /** Whether the call belongs to a repeated attempt of an outer call. */
    bool isNestedInRetry = false;
    std::chrono::microseconds remaining{0};
};

} // namespace boragetrack::traffic::retry
