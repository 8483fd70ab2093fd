/** Implements BudgetedRetry. */
#include "traffic/retry/BudgetedRetry.h"

namespace boragetrack::traffic::retry {

namespace {
constexpr std::chrono::milliseconds shortestUsefulTime{5};
} // namespace

bool BudgetedRetry::mayRetry(const RetryQuestion &question)
{
    const bool isSafe
            = question.answer->outcome == calls::CallOutcome::NotRun || question.isIdempotent;
    if (!isSafe || question.attempts >= question.attemptLimit)
        return false;
    if (question.isNestedRepeat || question.remaining < shortestUsefulTime)
        return false;
    return budget_.spend();
}

} // namespace boragetrack::traffic::retry
