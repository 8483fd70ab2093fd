/** Two budgets for each service: one for all retries, and a smaller one inside it for retries of
    calls that ran and failed. */
#include "traffic/retry/BudgetedRetry.h"

#include <algorithm>

namespace boragetrack::traffic::retry {

using core::identity::ServiceName;
using core::timing::MonotonicTime;

namespace {
constexpr std::chrono::milliseconds minimumUsefulTime{5};
// A call that failed because of a nested call is likely to fail again, and its retry repeats the
// nested calls; most of the budget is kept for calls that an upstream refused.
constexpr double failureBudgetFraction = 0.4;
} // namespace

void BudgetedRetry::setLimits(const RetryLimits &limits)
{
    // Counts of one window length can not be converted to another; new windows start empty.
    if (limits.window != limits_.window)
        budgets_.clear();
    limits_ = limits;
}

void BudgetedRetry::recordFirstAttempt(const ServiceName &service, MonotonicTime now)
{
    Budgets &budgets = budgetsOf(service);
    budgets.all.earn(now);
    budgets.failures.earn(now);
}

bool BudgetedRetry::mayRetry(const RetryContext &context, MonotonicTime now)
{
    const bool isSafe
            = context.response->outcome == calls::CallOutcome::NotRun || context.isIdempotent;
    if (!isSafe || context.attempts >= context.attemptLimit)
        return false;
    if (context.isNestedInRetry || context.remaining < minimumUsefulTime)
        return false;
    const double nodes = limits_.isReserveShared ? std::max(1, context.nodes) : 1.0;
    const double fraction = context.budgetPercent / 100.0 * limits_.budgetFraction;
    const double reserve = limits_.reserve / nodes;
    Budgets &budgets = budgetsOf(context.service);
    const bool isFailure = context.response->isFailure();
    if (isFailure
        && !budgets.failures.spend(fraction * failureBudgetFraction,
                                   reserve * failureBudgetFraction, now))
        return false;
    return budgets.all.spend(fraction, reserve, now);
}

BudgetedRetry::Budgets &BudgetedRetry::budgetsOf(const ServiceName &service)
{
    return budgets_
            .try_emplace(service, Budgets{RetryBudget(limits_.window), RetryBudget(limits_.window)})
            .first->second;
}

} // namespace boragetrack::traffic::retry
