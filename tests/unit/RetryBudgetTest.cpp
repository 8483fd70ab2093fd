/** Tests the limits on retries. */
#include "traffic/retry/BudgetedRetry.h"

#include <gtest/gtest.h>

using namespace boragetrack::traffic::retry;
using boragetrack::core::identity::ServiceName;
using boragetrack::core::timing::MonotonicTime;
using boragetrack::traffic::calls::CallOutcome;
using boragetrack::traffic::calls::CallResponse;
using std::chrono::milliseconds;

namespace {

RetryContext contextOf(const CallResponse &response, int nodes)
{
    RetryContext context;
    context.response = &response;
    context.service = ServiceName("payments");
    context.isIdempotent = true;
    context.attemptLimit = 2;
    context.budgetPercent = 20;
    context.nodes = nodes;
    context.remaining = milliseconds(500);
    return context;
}

} // namespace

TEST(RetryBudget, limitsRetriesInEveryWindowOfTime)
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

// Guards against one reserve for each node when many nodes lose their upstreams at the same time:
// all nodes together must keep to one reserve.
TEST(BudgetedRetry, sharesTheReserveAmongAllNodes)
{
    constexpr int nodeCount = 10;
    const RetryLimits limits{milliseconds(10'000), 60, true, 0.5};
    const CallResponse broken = CallResponse::unknown("broken");
    int retries = 0;
    for (int node = 0; node < nodeCount; ++node) {
        BudgetedRetry retry(limits);
        for (int call = 0; call < 100; ++call) {
            retry.recordFirstAttempt(ServiceName("payments"), {});
            retries += retry.mayRetry(contextOf(broken, nodeCount), {});
        }
    }
    EXPECT_LE(retries, nodeCount * 100 * 0.2 * 0.5 + 60);
    EXPECT_GE(retries, nodeCount * 100 * 0.2 * 0.5);
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
        afterFailures += retry.mayRetry(contextOf(failed, 1), {});
    for (int call = 0; call < 1000; ++call)
        afterRefusals += retry.mayRetry(contextOf(refused, 1), {});
    EXPECT_EQ(afterFailures, 80);
    EXPECT_EQ(afterRefusals, 120);
}
