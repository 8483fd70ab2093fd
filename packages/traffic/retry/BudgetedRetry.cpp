/** Implements BudgetedRetry. */
#include "traffic/retry/BudgetedRetry.h"

#include <algorithm>

namespace boragetrack::traffic::retry {

using core::identity::ServiceName;
using core::timing::MonotonicTime;

namespace {
constexpr std::chrono::milliseconds shortestUsefulTime{5};
// A call that failed for want of a call inside it fails again, and its repeat makes those calls
// again; most of the budget is kept for calls that an upstream refused.
constexpr double partForFailures = 0.4;
} // namespace

void BudgetedRetry::setLimits(const RetryLimits &limits)
{
    // Windows of another length can not be converted; the next calls fill new ones.
    if (limits.window != limits_.window)
        budgets_.clear();
    limits_ = limits;
}

void BudgetedRetry::recordFirstAttempt(const ServiceName &service, MonotonicTime now)
{
    Budgets &budgets = budgetsOf(service);
    budgets.all.earn(now);
    budgets.ofFailures.earn(now);
}

bool BudgetedRetry::mayRetry(const RetryContext &question, MonotonicTime now)
{
    const bool isSafe
            = question.answer->outcome == calls::CallOutcome::NotRun || question.isIdempotent;
    if (!isSafe || question.attempts >= question.attemptLimit)
        return false;
    if (question.isNestedInRetry || question.remaining < shortestUsefulTime)
        return false;
    const double nodes = limits_.isReserveShared ? std::max(1, question.nodes) : 1.0;
    const double part = question.budgetPercent / 100.0 * limits_.budgetFraction;
    const double reserve = limits_.reserve / nodes;
    Budgets &budgets = budgetsOf(question.service);
    const bool isFailure = question.answer->isFailure();
    if (isFailure
        && !budgets.ofFailures.spend(part * partForFailures, reserve * partForFailures, now))
        return false;
    return budgets.all.spend(part, reserve, now);
}

BudgetedRetry::Budgets &BudgetedRetry::budgetsOf(const ServiceName &service)
{
    return budgets_
            .try_emplace(service, Budgets{RetryBudget(limits_.window), RetryBudget(limits_.window)})
            .first->second;
}

} // namespace boragetrack::traffic::retry
