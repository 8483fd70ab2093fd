/** Tests the bound on repeats. */
#include "traffic/retry/BudgetedRetry.h"

#include <gtest/gtest.h>

using namespace boragetrack::traffic::retry;
using boragetrack::core::identity::ServiceName;
using boragetrack::core::timing::MonotonicTime;
using boragetrack::traffic::calls::CallOutcome;
using boragetrack::traffic::calls::CallResponse;
using std::chrono::milliseconds;

namespace {

RetryContext question(const CallResponse &answer, int nodes)
{
    RetryContext question;
    question.answer = &answer;
    question.service = ServiceName("payments");
    question.isIdempotent = true;
    question.attemptLimit = 2;
    question.budgetPercent = 20;
    question.nodes = nodes;
    question.remaining = milliseconds(500);
    return question;
}

} // namespace

TEST(RetryBudget, holdsInEveryWindowAndNotOnlyFromItsStart)
{
    RetryBudget budget(milliseconds(10'000));
    std::vector<milliseconds> spent;
    for (milliseconds now{0}; now < milliseconds(60'000); now += milliseconds(10)) {
        const MonotonicTime time = MonotonicTime{} + now;
        budget.earn(time);
        if (budget.spend(0.1, 20, time))
            spent.push_back(now);
    }
    for (const milliseconds from : spent) {
        const auto inWindow = std::count_if(spent.begin(), spent.end(), [&](milliseconds at) {
            return at >= from && at < from + milliseconds(10'000);
        });
        EXPECT_LE(inWindow, 1000 * 0.1 + 20 + 1000 * 0.1 * 0.1 + 1);
    }
    EXPECT_GT(spent.size(), 500U);
}

// The load of an outage of many nodes at once: all of them together keep the one reserve.
TEST(BudgetedRetry, sharesTheReserveAmongAllNodes)
{
    constexpr int nodeCount = 10;
    const RetryLimits limits{milliseconds(10'000), 60, true, 0.5};
    const CallResponse broken = CallResponse::unknown("broken");
    int repeats = 0;
    for (int node = 0; node < nodeCount; ++node) {
        BudgetedRetry retry(limits);
        for (int call = 0; call < 100; ++call) {
            retry.recordFirstAttempt(ServiceName("payments"), {});
            repeats += retry.mayRetry(question(broken, nodeCount), {});
        }
    }
    EXPECT_LE(repeats, nodeCount * 100 * 0.2 * 0.5 + 60);
    EXPECT_GE(repeats, nodeCount * 100 * 0.2 * 0.5);
}

TEST(BudgetedRetry, keepsMostOfTheBudgetForCallsThatDidNotRun)
{
    BudgetedRetry retry(RetryLimits{milliseconds(10'000), 0, false, 1.0});
    CallResponse failed;
    failed.outcome = CallOutcome::Completed;
    failed.status = 500;
    const CallResponse refused = CallResponse::notRun("shed");
    int afterFailures = 0;
    int afterRefusals = 0;
    for (int call = 0; call < 1000; ++call)
        retry.recordFirstAttempt(ServiceName("payments"), {});
    for (int call = 0; call < 1000; ++call)
        afterFailures += retry.mayRetry(question(failed, 1), {});
    for (int call = 0; call < 1000; ++call)
        afterRefusals += retry.mayRetry(question(refused, 1), {});
    EXPECT_EQ(afterFailures, 80);
    EXPECT_EQ(afterRefusals, 120);
}
