/** The baseline of repeats: no budget. */
#pragma once

#include "traffic/retry/RetryPolicy.h"

namespace boragetrack::traffic::retry {

/** Repeats safely but without a budget or regard to nesting; serves as the baseline. */
class PlainRetry : public RetryPolicy
{
public:
    void callBegan(int /*budgetPercent*/) override {}
    bool mayRetry(const RetryQuestion &question) override
    {
        const bool isSafe
                = question.answer->outcome == calls::CallOutcome::NotRun || question.isIdempotent;
        return isSafe && question.attempts < question.attemptLimit;
    }
};

} // namespace boragetrack::traffic::retry
