/** Implements BudgetedRetry. */
#include "traffic/retry/BudgetedRetry.h"

#include <algorithm>

namespace boragetrack::traffic::retry {

using core::identity::ServiceName;
using core::timing::MonotonicTime;

namespace {
constexpr std::chrono::milliseconds shortestUsefulTime{5};
} // namespace

void BudgetedRetry::setLimits(const RepeatLimits &limits)
{
    // Windows of another length can not be converted; the next calls fill new ones.
    if (limits.window != limits_.window)
        budgets_.clear();
    limits_ = limits;
}

void BudgetedRetry::callBegan(const ServiceName &service, MonotonicTime now)
{
    budgetOf(service).earn(now);
}

bool BudgetedRetry::mayRetry(const RetryQuestion &question, MonotonicTime now)
{
    const bool isSafe
            = question.answer->outcome == calls::CallOutcome::NotRun || question.isIdempotent;
    if (!isSafe || question.attempts >= question.attemptLimit)
        return false;
    if (question.isNestedRepeat || question.remaining < shortestUsefulTime)
        return false;
    const double nodes = limits_.isReserveShared ? std::max(1, question.nodes) : 1.0;
    return budgetOf(question.service)
            .spend(question.budgetPercent / 100.0 * limits_.usedPart, limits_.reserve / nodes, now);
}

RetryBudget &BudgetedRetry::budgetOf(const ServiceName &service)
{
    return budgets_.try_emplace(service, limits_.window).first->second;
}

} // namespace boragetrack::traffic::retry
