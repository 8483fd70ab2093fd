/** Tests the choice of endpoints and the tracking of their load. */
#include "traffic/routing/LoadTracker.h"
#include "traffic/routing/OnTimeRouting.h"

#include <gtest/gtest.h>

using namespace boragetrack;
using namespace boragetrack::traffic;
using admission::ServiceTimeEstimate;
using core::identity::NodeId;
using core::identity::RouteName;
using core::timing::MonotonicTime;
using routing::CallRequirements;
using routing::Candidate;
using std::chrono::milliseconds;

namespace {

class RoutingTest : public testing::Test
{
protected:
    void add(bool isLocal, milliseconds wait, milliseconds serviceTime)
    {
        endpoints_.push_back(std::make_unique<routing::Endpoint>());
        endpoints_.back()->slots = 10;
        Candidate candidate;
        candidate.endpoint = endpoints_.back().get();
        candidate.isLocal = isLocal;
        candidate.load.reported.limit = 10;
        candidate.load.reported.inFlight = wait.count() > 0 ? 10 : 5;
        candidate.load.reported.waits.fill(wait);
        candidate.load.serviceTime = ServiceTimeEstimate::ofRoute(serviceTime, {});
        candidates_.push_back(candidate);
    }

    routing::RoutingChoice choose(milliseconds objective, milliseconds budget)
    {
        return policy_.choose(candidates_, CallRequirements{1, objective, budget}, random_);
    }

    std::vector<std::unique_ptr<routing::Endpoint>> endpoints_;
    std::vector<Candidate> candidates_;
    routing::OnTimeRouting policy_;
    std::mt19937_64 random_{3};
};

calls::CallResponse completed(int status, milliseconds serviceTime)
{
    calls::CallResponse response;
    response.outcome = calls::CallOutcome::Completed;
    response.status = status;
    response.serviceTime = serviceTime;
    response.load.limit = 10;
    return response;
}

} // namespace

TEST_F(RoutingTest, staysLocalWhileThatIsOnTime)
{
    add(true, milliseconds(80), milliseconds(100));
    add(false, milliseconds(0), milliseconds(50));
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(choose(milliseconds(300), milliseconds(1000)).index, 0U);
}

TEST_F(RoutingTest, refusesNoCallForTheReducedWeightOfTheOnlyEndpoints)
{
    add(true, milliseconds(0), milliseconds(50));
    add(false, milliseconds(0), milliseconds(50));
    endpoints_[0]->weight = 0.1;
    endpoints_[1]->weight = 0.1;
    for (int i = 0; i < 50; ++i)
        EXPECT_TRUE(choose(milliseconds(300), milliseconds(1000)).index.has_value());
}

TEST_F(RoutingTest, prefersAnEndpointOfReducedWeightToAnEjectedOne)
{
    add(true, milliseconds(0), milliseconds(50));
    add(true, milliseconds(0), milliseconds(50));
    endpoints_[0]->weight = 0.1;
    candidates_[1].load.isEjected = true;
    for (int i = 0; i < 50; ++i)
        EXPECT_EQ(choose(milliseconds(300), milliseconds(1000)).index, 0U);
}

TEST_F(RoutingTest, leavesTheDataCentreWhenTheLocalResponseWouldBeLate)
{
    add(true, milliseconds(250), milliseconds(100));
    add(false, milliseconds(0), milliseconds(50));
    EXPECT_EQ(choose(milliseconds(300), milliseconds(1000)).index, 1U);
}

TEST_F(RoutingTest, staysLocalWhenNoneIsOnTime)
{
    add(true, milliseconds(250), milliseconds(100));
    add(false, milliseconds(250), milliseconds(90));
    EXPECT_EQ(choose(milliseconds(100), milliseconds(1000)).index, 0U);
}

TEST_F(RoutingTest, refusesWhenNoneCanRespondInTimeAndReturnsTheShortestWait)
{
    add(true, milliseconds(700), milliseconds(100));
    add(false, milliseconds(600), milliseconds(100));
    const auto choice = choose(milliseconds(300), milliseconds(500));
    EXPECT_FALSE(choice.index);
    EXPECT_EQ(choice.shortestWait, milliseconds(600));
}

TEST_F(RoutingTest, avoidsEjectedAndUnresponsiveEndpointsWhileThereIsAnother)
{
    add(true, milliseconds(0), milliseconds(50));
    add(true, milliseconds(0), milliseconds(50));
    add(false, milliseconds(0), milliseconds(50));
    candidates_[0].load.isEjected = true;
    candidates_[1].load.isUnresponsive = true;
    EXPECT_EQ(choose(milliseconds(300), milliseconds(500)).index, 2U);
    candidates_.pop_back();
    EXPECT_TRUE(choose(milliseconds(300), milliseconds(500)).index);
}

// When all endpoints are in a data centre that is cut off, a call would only wait for a timeout.
TEST_F(RoutingTest, refusesImmediatelyWhenAllEndpointsAreCutOff)
{
    add(false, milliseconds(0), milliseconds(50));
    add(false, milliseconds(0), milliseconds(50));
    for (auto &candidate : candidates_)
        candidate.load.isCutOff = true;
    EXPECT_FALSE(choose(milliseconds(300), milliseconds(500)).index);
    candidates_[1].load.isCutOff = false;
    EXPECT_EQ(choose(milliseconds(300), milliseconds(500)).index, 1U)
            << "a probe of the data centre";
}

TEST_F(RoutingTest, avoidsAnEndpointWhoseCallsFailEvenIfItIsLocal)
{
    add(true, milliseconds(0), milliseconds(10));
    add(false, milliseconds(0), milliseconds(60));
    candidates_[0].load.failureRate = 0.9;
    EXPECT_EQ(choose(milliseconds(500), milliseconds(1000)).index, 1U);
    candidates_[0].load.failureRate = 0.05;
    EXPECT_EQ(choose(milliseconds(500), milliseconds(1000)).index, 0U);
}

// review/6: an added route was refused for good, since its first call was never sent.
TEST_F(RoutingTest, refusesNoCallForTheServiceTimesOfOtherRoutes)
{
    add(true, milliseconds(0), milliseconds(0));
    candidates_[0].load.serviceTime = ServiceTimeEstimate::ofOtherRoutes(milliseconds(300));
    EXPECT_TRUE(choose(milliseconds(150), milliseconds(250)).index);
    candidates_[0].load.serviceTime = ServiceTimeEstimate::ofRoute(milliseconds(300), {});
    EXPECT_FALSE(choose(milliseconds(150), milliseconds(250)).index) << "known to be slow";
}

// The same after a time-out was shortened while the upstreams were slow.
TEST_F(RoutingTest, sendsACallAgainOnceTheEstimateThatHeldItBackIsOld)
{
    add(true, milliseconds(0), milliseconds(0));
    const auto chooseAtAge = [&](milliseconds age, bool isIdempotent) {
        candidates_[0].load.serviceTime = ServiceTimeEstimate::ofRoute(milliseconds(1100), age);
        const CallRequirements requirements{1, milliseconds(300), milliseconds(800), isIdempotent};
        return policy_.choose(candidates_, requirements, random_).index.has_value();
    };
    const milliseconds valid = ServiceTimeEstimate::validity;
    const milliseconds halfLife = ServiceTimeEstimate::refusalHalfLife;
    EXPECT_FALSE(chooseAtAge(valid, true));
    EXPECT_TRUE(chooseAtAge(valid + halfLife, true));
    EXPECT_FALSE(chooseAtAge(valid + halfLife, false)) << "a call that must not run twice";
    EXPECT_TRUE(chooseAtAge(valid + 2 * halfLife, false));
}

TEST_F(RoutingTest, choosesAnEndpointAgainThatWasSlowLongAgo)
{
    add(true, milliseconds(40), milliseconds(20));
    add(true, milliseconds(0), milliseconds(0));
    const auto chooseAtAge = [&](milliseconds age) {
        candidates_[1].load.serviceTime = ServiceTimeEstimate::ofRoute(milliseconds(1100), age);
        return choose(milliseconds(100), milliseconds(2000)).index;
    };
    EXPECT_EQ(chooseAtAge(milliseconds(0)), 0U);
    candidates_[0].load.reported.waits.fill(milliseconds(95));
    EXPECT_EQ(chooseAtAge(std::chrono::minutes(2)), 1U);
}

TEST(LoadTracker, letsOneCallAtATimeProbeAnEndpointThatSeemsSlow)
{
    routing::LoadTracker tracker;
    const NodeId node("n");
    const RouteName route("r");
    const auto assuredAt = [&](milliseconds time) {
        return tracker.load(node, route, MonotonicTime{} + time).serviceTime.assured();
    };
    tracker.recordStart(node, route, {});
    tracker.recordResponse(node, route, completed(200, milliseconds(1100)), {}, {});
    EXPECT_EQ(assuredAt(milliseconds(2000)), milliseconds(1100));
    const milliseconds probe(3500);
    EXPECT_LT(assuredAt(probe), milliseconds(800));
    tracker.recordStart(node, route, MonotonicTime{} + probe);
    EXPECT_EQ(assuredAt(probe + milliseconds(500)), milliseconds(1100)) << "while the probe runs";
    tracker.recordResponse(node, route, completed(200, milliseconds(100)), MonotonicTime{} + probe,
                           MonotonicTime{} + probe + milliseconds(100));
    EXPECT_LT(assuredAt(probe + milliseconds(100)), milliseconds(800));
}

TEST(LoadTracker, lowersTheFailureRateWithTimeSoThatAnEndpointIsTriedAgain)
{
    routing::LoadTracker tracker;
    const NodeId node("n");
    for (int i = 0; i < 40; ++i) {
        tracker.recordStart(node, RouteName("r"), {});
        tracker.recordResponse(node, RouteName("r"), completed(500, milliseconds(5)), {}, {});
    }
    const double fresh = tracker.load(node, RouteName("r"), {}).failureRate;
    EXPECT_LT(tracker.load(node, RouteName("r"), MonotonicTime{} + milliseconds(9000)).failureRate,
              fresh / 10);
}

TEST(LoadTracker, takesAnEndpointWithoutResponsesForUnresponsive)
{
    routing::LoadTracker tracker;
    const NodeId node("n");
    const MonotonicTime start{};
    tracker.recordStart(node, RouteName("r"), start);
    EXPECT_FALSE(tracker.load(node, RouteName("r"), start + milliseconds(300)).isUnresponsive);
    EXPECT_TRUE(tracker.load(node, RouteName("r"), start + milliseconds(900)).isUnresponsive);
    tracker.recordStart(node, RouteName("r"), start + milliseconds(850));
    tracker.recordResponse(node, RouteName("r"), completed(200, milliseconds(40)),
                           start + milliseconds(850), start + milliseconds(890));
    EXPECT_FALSE(tracker.load(node, RouteName("r"), start + milliseconds(900)).isUnresponsive)
            << "another call has just ended, so that this one is only slow";
}

TEST(LoadTracker, tracksServiceTimesAndFailuresButIgnoresRefusals)
{
    routing::LoadTracker tracker;
    const NodeId node("n");
    for (int i = 0; i < 50; ++i) {
        tracker.recordStart(node, RouteName("r"), {});
        tracker.recordResponse(node, RouteName("r"), completed(200, milliseconds(40)), {}, {});
    }
    auto refusal = calls::CallResponse::notRun("no room");
    refusal.load.limit = 10;
    tracker.recordStart(node, RouteName("r"), {});
    tracker.recordResponse(node, RouteName("r"), refusal, {}, {});
    const auto good = tracker.load(node, RouteName("r"), {});
    EXPECT_NEAR(std::chrono::duration<double>(good.serviceTime.average()).count(), 0.040, 0.001);
    EXPECT_EQ(good.failureRate, 0.0);
    EXPECT_FALSE(good.isEjected);
    for (int i = 0; i < 20; ++i) {
        tracker.recordStart(node, RouteName("r"), {});
        tracker.recordResponse(node, RouteName("r"), completed(500, milliseconds(5)), {}, {});
    }
    EXPECT_GT(tracker.load(node, RouteName("r"), {}).failureRate, 0.8);
}

TEST(LoadTracker, ejectsAnUnreachableEndpoint)
{
    routing::LoadTracker tracker;
    const NodeId node("n");
    tracker.recordStart(node, RouteName("r"), {});
    tracker.recordResponse(node, RouteName("r"), calls::CallResponse::notRun("refused"), {}, {});
    EXPECT_TRUE(tracker.load(node, RouteName("r"), MonotonicTime{} + milliseconds(100)).isEjected);
    EXPECT_FALSE(tracker.load(node, RouteName("r"), MonotonicTime{} + milliseconds(300)).isEjected);
}
