/** What a retry policy decides upon. */
#pragma once

#include "traffic/calls/CallAnswer.h"

#include <chrono>

namespace boragetrack::traffic::retry {

/** Describes a call whose last attempt brought no good answer. */
struct RetryQuestion
{
    const calls::CallAnswer *answer = nullptr;
    bool isIdempotent = false;
    /** Attempts so far. */
    int attempts = 1;
    int attemptLimit = 1;
    /** Whether the call belongs to a repeated attempt of an outer call. */
    bool isNestedRepeat = false;
    std::chrono::microseconds remaining{0};
};

} // namespace boragetrack::traffic::retry
