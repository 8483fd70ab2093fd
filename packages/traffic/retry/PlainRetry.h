/** The baseline retry policy, for comparison with the budgeted one. */
#pragma once

#include "traffic/retry/RetryPolicy.h"

namespace boragetrack::traffic::retry {

/** Retries whatever is safe to run again up to the attempt limit, without a budget and also for
    nested calls of a retry. */
class PlainRetry : public RetryPolicy
{
public:
    void recordFirstAttempt(const core::identity::ServiceName & /*service*/,
                            core::timing::MonotonicTime /*now*/) override
    {}

    bool mayRetry(const RetryContext &context, core::timing::MonotonicTime /*now*/) override
    {
        const bool isSafe
                = context.response->outcome == calls::CallOutcome::NotRun || context.isIdempotent;
        return isSafe && context.attempts < context.attemptLimit;
    }
};

} // namespace boragetrack::traffic::retry
