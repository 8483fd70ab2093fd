/** Repeats within a budget. */
#pragma once

#include "traffic/retry/RetryBudget.h"
#include "traffic/retry/RetryPolicy.h"

namespace boragetrack::traffic::retry {

/** Repeats a call that certainly did not run, or an idempotent one; nested calls of a repeat are
    not repeated, so that deep call trees do not multiply. */
class BudgetedRetry : public RetryPolicy
{
public:
    void callBegan(int budgetPercent) override { budget_.earn(budgetPercent); }
    bool mayRetry(const RetryQuestion &question) override;

private:
    RetryBudget budget_;
};

} // namespace boragetrack::traffic::retry
