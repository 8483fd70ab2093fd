/** Tests the adaptive concurrency limit and the admission queue. */
#include "traffic/admission/AdaptiveConcurrency.h"
#include "traffic/admission/AdmissionQueue.h"

#include <gtest/gtest.h>

using namespace boragetrack::traffic::admission;
using boragetrack::core::timing::MonotonicTime;
using std::chrono::milliseconds;

namespace {

constexpr AdmissionLimits limits{2, 10, 5};

void recordSuccesses(AdaptiveConcurrency &policy, int count, milliseconds latency,
                     MonotonicTime now)
{
    for (int i = 0; i < count; ++i)
        policy.recordRequest({latency, false, policy.limit()}, now);
}

AdmissionQueue queueWith(int start)
{
    const AdmissionLimits fixed{start, start, 5};
    return AdmissionQueue(std::make_unique<AdaptiveConcurrency>(fixed), fixed);
}

} // namespace

TEST(AdaptiveConcurrency, startsLowAndRisesToTheMaximumWithSuccesses)
{
    AdaptiveConcurrency policy(limits);
    EXPECT_EQ(policy.limit(), 2);
    recordSuccesses(policy, 500, milliseconds(5), {});
    EXPECT_EQ(policy.limit(), 10);
    EXPECT_FALSE(policy.isCold());
}

TEST(AdaptiveConcurrency, doesNotRiseWhileIdle)
{
    AdaptiveConcurrency policy(limits);
    recordSuccesses(policy, 200, milliseconds(5), {});
    const int reached = policy.limit();
    policy.handleUpstreamStart();
    for (int i = 0; i < 500; ++i)
        policy.recordRequest({milliseconds(5), false, 1}, {});
    EXPECT_LT(policy.limit(), reached);
}

TEST(AdaptiveConcurrency, fallsOnSheddingOncePerIntervalAndRisesAgain)
{
    AdaptiveConcurrency policy(limits);
    recordSuccesses(policy, 500, milliseconds(5), {});
    MonotonicTime now{};
    for (int i = 0; i < 30; ++i) {
        now += milliseconds(50);
        policy.recordRequest({milliseconds(5), true, 10}, now);
    }
    const int lowered = policy.limit();
    EXPECT_LE(lowered, 2);
    recordSuccesses(policy, 1000, milliseconds(5), now);
    EXPECT_EQ(policy.limit(), 10);
}

TEST(AdaptiveConcurrency, fallsWhenAWarmUpstreamSlowsDown)
{
    AdaptiveConcurrency policy(limits);
    recordSuccesses(policy, 500, milliseconds(5), {});
    MonotonicTime now{};
    for (int i = 0; i < 60; ++i) {
        now += milliseconds(50);
        policy.recordRequest({milliseconds(40), false, 10}, now);
    }
    EXPECT_LT(policy.limit(), 6);
}

TEST(AdmissionQueue, runsUpToTheLimitThenQueuesThenRefuses)
{
    AdmissionQueue queue = queueWith(2);
    const MonotonicTime now{};
    const MonotonicTime deadline = now + milliseconds(500);
    EXPECT_EQ(queue.arrive(1, deadline, now), AdmissionDecision::Run);
    EXPECT_EQ(queue.arrive(2, deadline, now), AdmissionDecision::Run);
    for (AdmissionQueue::Ticket ticket = 3; ticket < 8; ++ticket)
        EXPECT_EQ(queue.arrive(ticket, deadline, now), AdmissionDecision::Wait);
    EXPECT_EQ(queue.arrive(8, deadline, now), AdmissionDecision::Refuse);
    queue.finishRequest({milliseconds(5), false, 2}, now);
    EXPECT_EQ(queue.takeRunnable(now), std::vector<AdmissionQueue::Ticket>{3});
}

TEST(AdmissionQueue, refusesRequestsThatCannotMeetTheirDeadline)
{
    AdmissionQueue queue = queueWith(1);
    const MonotonicTime now{};
    ASSERT_EQ(queue.arrive(1, now + milliseconds(500), now), AdmissionDecision::Run);
    for (int i = 0; i < 50; ++i) {
        queue.finishRequest({milliseconds(100), false, 1}, now);
        ASSERT_EQ(queue.arrive(1, now + milliseconds(500), now), AdmissionDecision::Run);
    }
    EXPECT_EQ(queue.arrive(2, now + milliseconds(50), now), AdmissionDecision::Refuse);
    EXPECT_EQ(queue.arrive(3, now + milliseconds(400), now), AdmissionDecision::Wait);
    EXPECT_EQ(queue.takeRefused(now + milliseconds(350)), std::vector<AdmissionQueue::Ticket>{3});
}

TEST(AdmissionQueue, refusesNewRequestsWhileDraining)
{
    AdmissionQueue queue = queueWith(2);
    queue.setDraining(true);
    EXPECT_EQ(queue.arrive(1, MonotonicTime{} + milliseconds(500), {}), AdmissionDecision::Refuse);
}

namespace {

Arrival arrival(AdmissionQueue::Ticket ticket, int rank, milliseconds objective,
                milliseconds deadline)
{
    return Arrival{ticket, boragetrack::core::identity::RouteName("r"), rank,
                   MonotonicTime{} + objective, MonotonicTime{} + deadline};
}

// Runs requests one after the other, so that the queue knows their service time, and leaves it
// empty.
void recordServiceTime(AdmissionQueue &queue, milliseconds serviceTime)
{
    for (int i = 0; i < 30; ++i) {
        ASSERT_EQ(queue.arrive(arrival(1, 1, milliseconds(10'000), milliseconds(10'000)), {}),
                  AdmissionDecision::Run);
        queue.finishRequest({serviceTime, false, 1, boragetrack::core::identity::RouteName("r")},
                            {});
    }
}

} // namespace

// A running request keeps its permit until its nested calls end. If these waited behind new
// requests, they would block permits at other upstreams under overload.
TEST(AdmissionQueue, runsNestedCallsFirstThenLowerRanks)
{
    AdmissionQueue queue = queueWith(1);
    recordServiceTime(queue, milliseconds(10));
    const milliseconds ample(5000);
    ASSERT_EQ(queue.arrive(arrival(1, 1, ample, ample), {}), AdmissionDecision::Run);
    for (const auto &[ticket, rank] : {std::pair{2, 3}, std::pair{3, 1}, std::pair{4, 0}})
        ASSERT_EQ(queue.arrive(arrival(ticket, rank, ample, ample), {}), AdmissionDecision::Wait);
    std::vector<AdmissionQueue::Ticket> order;
    for (int i = 0; i < 3; ++i) {
        queue.releasePermit();
        for (const auto ticket : queue.takeRunnable({}))
            order.push_back(ticket);
    }
    EXPECT_EQ(order, (std::vector<AdmissionQueue::Ticket>{4, 3, 2}));
}

// Guards against refusing nested calls when a service loses most of its upstreams and its queue is
// full of new requests: each such refusal wastes what the parent request already did.
TEST(AdmissionQueue, displacesTheLastRequestOfAFullQueueForANestedCall)
{
    AdmissionQueue queue = queueWith(1);
    recordServiceTime(queue, milliseconds(10));
    const milliseconds ample(5000);
    ASSERT_EQ(queue.arrive(arrival(1, 1, ample, ample), {}), AdmissionDecision::Run);
    for (int ticket = 2; ticket <= 6; ++ticket)
        ASSERT_EQ(queue.arrive(arrival(ticket, ticket == 3 ? 1 : 2, ample, ample), {}),
                  AdmissionDecision::Wait);
    EXPECT_EQ(queue.arrive(arrival(7, 2, ample, ample), {}), AdmissionDecision::Refuse);
    EXPECT_TRUE(queue.takeRefused({}).empty());
    EXPECT_EQ(queue.arrive(arrival(8, 0, ample, ample), {}), AdmissionDecision::Wait);
    EXPECT_EQ(queue.takeRefused({}), std::vector<AdmissionQueue::Ticket>{6});
    queue.releasePermit();
    EXPECT_EQ(queue.takeRunnable({}), std::vector<AdmissionQueue::Ticket>{8});
}

TEST(AdmissionQueue, prefersRequestsThatCanStillMeetTheirObjective)
{
    AdmissionQueue queue = queueWith(1);
    recordServiceTime(queue, milliseconds(100));
    ASSERT_EQ(queue.arrive(arrival(1, 1, milliseconds(5000), milliseconds(5000)), {}),
              AdmissionDecision::Run);
    ASSERT_EQ(queue.arrive(arrival(2, 1, milliseconds(50), milliseconds(2000)), {}),
              AdmissionDecision::Wait);
    ASSERT_EQ(queue.arrive(arrival(3, 2, milliseconds(1000), milliseconds(2000)), {}),
              AdmissionDecision::Wait);
    queue.releasePermit();
    EXPECT_EQ(queue.takeRunnable({}), std::vector<AdmissionQueue::Ticket>{3});
}

// Guards against requests that wait in vain under lasting overload: only as many requests that miss
// their objective may wait as the upstream can run before their deadline.
TEST(AdmissionQueue, refusesImmediatelyWhatCannotRunBeforeItsDeadline)
{
    AdmissionQueue queue = queueWith(2);
    recordServiceTime(queue, milliseconds(100));
    const milliseconds deadline(900);
    const milliseconds serviceTime(100);
    int waiting = 0;
    for (AdmissionQueue::Ticket ticket = 1; ticket <= 20; ++ticket)
        waiting += queue.arrive(arrival(ticket, 1, milliseconds(20), deadline), {})
                   == AdmissionDecision::Wait;
    EXPECT_GE(waiting, 2);
    // All requests that wait get a permit in time, and none is refused later.
    int served = 0;
    for (milliseconds now = serviceTime; now <= deadline - serviceTime; now += serviceTime) {
        queue.releasePermit();
        queue.releasePermit();
        EXPECT_TRUE(queue.takeRefused(MonotonicTime{} + now).empty());
        const auto started = queue.takeRunnable(MonotonicTime{} + now).size();
        served += static_cast<int>(started);
        if (started < 2)
            break;
    }
    EXPECT_EQ(served, waiting);
}

// review/6 at the upstream's node: requests of other routes keep the queue from being empty.
TEST(AdmissionQueue, refusesNoRequestForTheServiceTimesOfOtherRoutes)
{
    AdmissionQueue queue = queueWith(2);
    recordServiceTime(queue, milliseconds(300));
    const milliseconds ample(5000);
    for (const AdmissionQueue::Ticket ticket : {1, 2})
        ASSERT_EQ(queue.arrive(arrival(ticket, 1, ample, ample), {}), AdmissionDecision::Run);
    Arrival added = arrival(3, 1, milliseconds(250), milliseconds(250));
    EXPECT_EQ(queue.arrive(added, {}), AdmissionDecision::Refuse) << "known to need 300 ms";
    added.route = boragetrack::core::identity::RouteName("added");
    added.deadline += milliseconds(200);
    EXPECT_EQ(queue.arrive(added, {}), AdmissionDecision::Wait) << "its turn comes after 150 ms";
}

TEST(AdmissionQueue, keepsARequestOnceTheEstimateThatHeldItBackIsOld)
{
    const boragetrack::core::identity::RouteName slowRoute("r");
    const boragetrack::core::identity::RouteName busyRoute("busy");
    const milliseconds ample(60'000);
    for (const milliseconds time : {milliseconds(100), milliseconds(6000)}) {
        AdmissionQueue queue = queueWith(1);
        recordServiceTime(queue, milliseconds(1100));
        const MonotonicTime now = MonotonicTime{} + time;
        // A request of another route leaves the queue busy for 10 ms.
        for (int i = 0; i < 2; ++i) {
            ASSERT_EQ(queue.arrive(Arrival{1, busyRoute, 1, now + ample, now + ample}, now),
                      AdmissionDecision::Run);
            if (i == 0)
                queue.finishRequest({milliseconds(10), false, 1, busyRoute}, now);
        }
        const auto decision = queue.arrive(
                Arrival{2, slowRoute, 1, now + milliseconds(800), now + milliseconds(800)}, now);
        EXPECT_EQ(decision, time < ServiceTimeEstimate::validity ? AdmissionDecision::Refuse
                                                                 : AdmissionDecision::Wait);
    }
}

TEST(AdmissionQueue, limitsTheRequestRateOfAColdUpstream)
{
    AdmissionQueue queue = queueWith(10);
    queue.setCold(MonotonicTime{} + milliseconds(3000), 13.0);
    int started = 0;
    AdmissionQueue::Ticket ticket = 0;
    for (milliseconds now{0}; now < milliseconds(1000); now += milliseconds(5)) {
        const MonotonicTime time = MonotonicTime{} + now;
        const auto decision = queue.arrive(
                arrival(++ticket, 1, now + milliseconds(200), now + milliseconds(400)), time);
        started += decision == AdmissionDecision::Run;
        started += static_cast<int>(queue.takeRunnable(time).size());
        queue.takeRefused(time);
        while (queue.load(time).inFlight > 0)
            queue.releasePermit();
    }
    EXPECT_GE(started, 12);
    EXPECT_LE(started, 16);
}
