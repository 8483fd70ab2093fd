/** The default retry policy: safe retries within a budget for each service. */
#pragma once

#include "traffic/retry/RetryBudget.h"
#include "traffic/retry/RetryPolicy.h"

#include <unordered_map>

namespace boragetrack::traffic::retry {

/** Retries calls that certainly did not run and idempotent calls, as far as the budget allows.
    Nested calls of a retry are not retried, so that retries do not multiply in deep call trees. */
class BudgetedRetry : public RetryPolicy
{
public:
    explicit BudgetedRetry(const RetryLimits &limits = {})
        : limits_(limits)
    {}

    void setLimits(const RetryLimits &limits) override;
    void recordFirstAttempt(const core::identity::ServiceName &service,
                            core::timing::MonotonicTime now) override;
    bool mayRetry(const RetryContext &context, core::timing::MonotonicTime now) override;

private:
    // The budget for all retries of one service, and for those of calls that ran and failed.
    struct Budgets
    {
        RetryBudget all;
        RetryBudget failures;
    };

    Budgets &budgetsOf(const core::identity::ServiceName &service);

    RetryLimits limits_;
    std::unordered_map<core::identity::ServiceName, Budgets> budgets_;
};

} // namespace boragetrack::traffic::retry
