/** Decides whether a call may be tried again. */
#pragma once

#include "traffic/retry/RetryQuestion.h"

namespace boragetrack::traffic::retry {

/** Decides about repeats; called by several traffic threads at once. */
class RetryPolicy
{
public:
    virtual ~RetryPolicy() = default;

    /** Notes the first attempt of a call. @param budgetPercent repeats allowed per 100 calls */
    virtual void callBegan(int budgetPercent) = 0;

    /** Returns whether the call may be tried again; a "yes" spends from the budget. */
    virtual bool mayRetry(const RetryQuestion &question) = 0;
};

} // namespace boragetrack::traffic::retry
