/** The baseline of repeats: no budget. */
#pragma once

#include "traffic/retry/RetryPolicy.h"

namespace boragetrack::traffic::retry {

/** Repeats safely but without a budget or regard to nesting; serves as the baseline. */
class PlainRetry : public RetryPolicy
{
public:
    void recordFirstAttempt(const core::identity::ServiceName & /*service*/,
                            core::timing::MonotonicTime /*now*/) override
    {}

    bool mayRetry(const RetryContext &question, core::timing::MonotonicTime /*now*/) override
    {
        const bool isSafe
                = question.answer->outcome == calls::CallOutcome::NotRun || question.isIdempotent;
        return isSafe && question.attempts < question.attemptLimit;
    }
};

} // namespace boragetrack::traffic::retry
