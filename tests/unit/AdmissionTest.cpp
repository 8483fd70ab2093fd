/** Tests how many requests an upstream is given. */
#include "traffic/admission/AdaptiveConcurrency.h"
#include "traffic/admission/AdmissionQueue.h"

#include <gtest/gtest.h>

using namespace boragetrack::traffic::admission;
using boragetrack::core::timing::MonotonicTime;
using std::chrono::milliseconds;

namespace {

constexpr AdmissionLimits limits{2, 10, 5};

void answer(AdaptiveConcurrency &policy, int count, milliseconds latency, MonotonicTime now)
{
    for (int i = 0; i < count; ++i)
        policy.requestEnded({latency, false, policy.limit()}, now);
}

AdmissionQueue queueWith(int start)
{
    const AdmissionLimits fixed{start, start, 5};
    return AdmissionQueue(std::make_unique<AdaptiveConcurrency>(fixed), fixed);
}

} // namespace

TEST(AdaptiveConcurrency, beginsLowAndRisesToTheMaximumWithGoodAnswers)
{
    AdaptiveConcurrency policy(limits);
    EXPECT_EQ(policy.limit(), 2);
    answer(policy, 500, milliseconds(5), {});
    EXPECT_EQ(policy.limit(), 10);
    EXPECT_FALSE(policy.isCold());
}

TEST(AdaptiveConcurrency, doesNotRiseWhileIdle)
{
    AdaptiveConcurrency policy(limits);
    answer(policy, 200, milliseconds(5), {});
    const int reached = policy.limit();
    policy.upstreamStarted();
    for (int i = 0; i < 500; ++i)
        policy.requestEnded({milliseconds(5), false, 1}, {});
    EXPECT_LT(policy.limit(), reached);
}

TEST(AdaptiveConcurrency, fallsOnSheddingOncePerIntervalAndRisesAgainFromOne)
{
    AdaptiveConcurrency policy(limits);
    answer(policy, 500, milliseconds(5), {});
    MonotonicTime now{};
    for (int i = 0; i < 30; ++i) {
        now += milliseconds(50);
        policy.requestEnded({milliseconds(5), true, 10}, now);
    }
    const int fallen = policy.limit();
    EXPECT_LE(fallen, 2);
    answer(policy, 1000, milliseconds(5), now);
    EXPECT_EQ(policy.limit(), 10);
}

TEST(AdaptiveConcurrency, fallsWhenAWarmUpstreamTurnsCold)
{
    AdaptiveConcurrency policy(limits);
    answer(policy, 500, milliseconds(5), {});
    MonotonicTime now{};
    for (int i = 0; i < 60; ++i) {
        now += milliseconds(50);
        policy.requestEnded({milliseconds(40), false, 10}, now);
    }
    EXPECT_LT(policy.limit(), 6);
}

TEST(AdmissionQueue, runsUpToTheLimitThenWaitsThenRefuses)
{
    AdmissionQueue queue = queueWith(2);
    const MonotonicTime now{};
    const MonotonicTime deadline = now + milliseconds(500);
    EXPECT_EQ(queue.arrive(1, deadline, now), AdmissionDecision::Run);
    EXPECT_EQ(queue.arrive(2, deadline, now), AdmissionDecision::Run);
    for (AdmissionQueue::Ticket ticket = 3; ticket < 8; ++ticket)
        EXPECT_EQ(queue.arrive(ticket, deadline, now), AdmissionDecision::Wait);
    EXPECT_EQ(queue.arrive(8, deadline, now), AdmissionDecision::Refuse);
    queue.ended({milliseconds(5), false, 2}, now);
    EXPECT_EQ(queue.takeRunnable(now), std::vector<AdmissionQueue::Ticket>{3});
}

TEST(AdmissionQueue, refusesWhatCannotFinishInTime)
{
    AdmissionQueue queue = queueWith(1);
    const MonotonicTime now{};
    ASSERT_EQ(queue.arrive(1, now + milliseconds(500), now), AdmissionDecision::Run);
    for (int i = 0; i < 50; ++i) {
        queue.ended({milliseconds(100), false, 1}, now);
        ASSERT_EQ(queue.arrive(1, now + milliseconds(500), now), AdmissionDecision::Run);
    }
    EXPECT_EQ(queue.arrive(2, now + milliseconds(50), now), AdmissionDecision::Refuse);
    EXPECT_EQ(queue.arrive(3, now + milliseconds(400), now), AdmissionDecision::Wait);
    EXPECT_EQ(queue.takeExpired(now + milliseconds(350)), std::vector<AdmissionQueue::Ticket>{3});
}

TEST(AdmissionQueue, takesNothingNewWhileDraining)
{
    AdmissionQueue queue = queueWith(2);
    queue.setDraining(true);
    EXPECT_EQ(queue.arrive(1, MonotonicTime{} + milliseconds(500), {}), AdmissionDecision::Refuse);
}
