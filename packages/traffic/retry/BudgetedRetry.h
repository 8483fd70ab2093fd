/** Repeats within a budget. */
#pragma once

#include "traffic/retry/RetryBudget.h"
#include "traffic/retry/RetryPolicy.h"

#include <unordered_map>

namespace boragetrack::traffic::retry {

/** Repeats a call that certainly did not run, or an idempotent one; nested calls of a repeat are
    not repeated, so that deep call trees do not multiply. */
class BudgetedRetry : public RetryPolicy
{
public:
    explicit BudgetedRetry(const RetryLimits &limits = {})
        : limits_(limits)
    {}

    void setLimits(const RetryLimits &limits) override;
    void recordFirstAttempt(const core::identity::ServiceName &service,
                            core::timing::MonotonicTime now) override;
    bool mayRetry(const RetryContext &question, core::timing::MonotonicTime now) override;

private:
    // What one service may spend on all repeats, and on those of calls that ran and failed.
    struct Budgets
    {
        RetryBudget all;
        RetryBudget ofFailures;
    };

    Budgets &budgetsOf(const core::identity::ServiceName &service);

    RetryLimits limits_;
    std::unordered_map<core::identity::ServiceName, Budgets> budgets_;
};

} // namespace boragetrack::traffic::retry
