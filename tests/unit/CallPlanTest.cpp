/** Tests the attempts of calls: their endpoints, their retries and the final response. */
#include "traffic/retry/CallPlan.h"
#include "control/intent/IntentParser.h"
#include "tests/unit/TestIntent.h"
#include "traffic/retry/BudgetedRetry.h"
#include "traffic/routing/TwoChoicesRouting.h"

#include <gtest/gtest.h>

using namespace boragetrack;
using namespace boragetrack::traffic;
using calls::CallOutcome;
using calls::CallResponse;
using core::identity::NodeId;
using core::identity::VersionName;
using core::timing::MonotonicTime;
using retry::CallPlan;
using retry::PlanStep;
using retry::SendAttempt;

namespace {

routing::Endpoint endpoint(const std::string &node, const std::string &dataCentre,
                           const std::string &version)
{
    routing::Endpoint result;
    result.node = NodeId(node);
    result.dataCentre = core::identity::DataCentreId(dataCentre);
    result.version = VersionName(version);
    result.slots = 10;
    return result;
}

std::shared_ptr<routing::RoutingSnapshot> makeSnapshot()
{
    core::findings::FindingList findings("intent");
    auto document = control::intent::readIntent(tests::intentJson(), findings);
    auto snapshot = std::make_shared<routing::RoutingSnapshot>();
    snapshot->dataCentre = core::identity::DataCentreId("ikeja");
    snapshot->intent = std::make_shared<control::intent::IntentSnapshot>(
            core::identity::Revision(1), *document, snapshot->dataCentre, core::timing::WallTime{});
    snapshot->isServing = true;
    for (const auto &entry : snapshot->intent->routes())
        snapshot->targets.push_back({entry, {VersionName("v1"), {}, 0.0}});
    auto members = std::make_shared<routing::RoutableMembers>();
    auto &endpoints = members->endpoints[core::identity::ServiceName("payments")];
    endpoints = {endpoint("a", "ikeja", "v1"), endpoint("b", "ikeja", "v1"),
                 endpoint("c", "lekki", "v1"), endpoint("d", "lekki", "v2")};
    for (const auto &each : endpoints)
        members->registrars.push_back(
                {each.node, NodeId(each.node.value() + "@1"), each.address, each.dataCentre});
    snapshot->members = members;
    return snapshot;
}

CallResponse completed(int status)
{
    CallResponse response;
    response.outcome = CallOutcome::Completed;
    response.status = status;
    return response;
}

class CallPlanTest : public testing::Test
{
protected:
    CallPlan plan(bool isIdempotent)
    {
        calls::CallRequest request;
        request.service = core::identity::ServiceName("payments");
        request.isIdempotent = isIdempotent;
        request.budget = std::chrono::milliseconds(500);
        return CallPlan({routing_, retries_, loads_}, snapshot_, snapshot_->targets[0], request,
                        random_);
    }

    std::shared_ptr<routing::RoutingSnapshot> snapshot_ = makeSnapshot();
    routing::TwoChoicesRouting routing_;
    retry::BudgetedRetry retries_;
    routing::LoadTracker loads_;
    std::mt19937_64 random_{7};
    MonotonicTime now_{};
};

} // namespace

TEST_F(CallPlanTest, staysInTheLocalDataCentreWhileThereIsHeadroom)
{
    for (int i = 0; i < 50; ++i) {
        CallPlan call = plan(true);
        const auto step = call.start(now_);
        EXPECT_EQ(std::get<SendAttempt>(step).endpoint.dataCentre.value(), "ikeja");
        call.handleResponse(completed(200), now_);
    }
}

TEST_F(CallPlanTest, usesOtherDataCentresWhenLocalEndpointsAreFull)
{
    std::map<std::string, int> started;
    for (int i = 0; i < 30; ++i) {
        CallPlan call = plan(true);
        ++started[std::get<SendAttempt>(call.start(now_)).endpoint.node.value()];
    }
    EXPECT_EQ(started["c"], 10);
    EXPECT_EQ(started["d"], 0) << "the other version gets no calls without a move";
}

// Guards against immediate further attempts at the only upstream of a service, which has just
// refused the call for lack of room.
TEST_F(CallPlanTest, doesNotTryAFullEndpointAgain)
{
    auto members = std::make_shared<routing::RoutableMembers>(*snapshot_->members);
    members->endpoints[core::identity::ServiceName("payments")].resize(1);
    snapshot_->members = members;
    CallPlan call = plan(true);
    ASSERT_TRUE(std::holds_alternative<SendAttempt>(call.start(now_)));
    CallResponse full = CallResponse::notRun("no room");
    full.load.limit = 10;
    const auto step = call.handleResponse(full, now_);
    ASSERT_TRUE(std::holds_alternative<CallResponse>(step));
    EXPECT_EQ(std::get<CallResponse>(step).outcome, CallOutcome::NotRun);
}

TEST_F(CallPlanTest, retriesACallThatDidNotRunAtAnotherEndpoint)
{
    CallPlan call = plan(false);
    const auto first = std::get<SendAttempt>(call.start(now_));
    const auto second
            = std::get<SendAttempt>(call.handleResponse(CallResponse::notRun("no room"), now_));
    EXPECT_NE(first.endpoint.node, second.endpoint.node);
    EXPECT_EQ(second.request.attempt, 2);
}

// Guards against offering a call to each upstream of a service that its route has left.
TEST_F(CallPlanTest, endsAsNotRunWhenTheSendersIntentIsOutdated)
{
    CallPlan call = plan(true);
    ASSERT_TRUE(std::holds_alternative<SendAttempt>(call.start(now_)));
    CallResponse outdated = CallResponse::notRun("the sender's intent is out of date");
    outdated.isOutdated = true;
    const auto step = call.handleResponse(outdated, now_);
    ASSERT_TRUE(std::holds_alternative<CallResponse>(step));
    EXPECT_EQ(std::get<CallResponse>(step).outcome, CallOutcome::NotRun);
    EXPECT_TRUE(std::get<CallResponse>(step).retryAfter);
}

TEST_F(CallPlanTest, goesToTheHolderOfAClaimAndReturnsItsResponse)
{
    CallPlan call = plan(false);
    call.start(now_);
    CallResponse claimed;
    claimed.outcome = CallOutcome::Claimed;
    claimed.claimHolder = NodeId("c@1");
    const auto step = std::get<SendAttempt>(call.handleResponse(claimed, now_));
    EXPECT_EQ(step.endpoint.node, NodeId("c"));
    const auto end = call.handleResponse(CallResponse::notRun("no room"), now_);
    EXPECT_EQ(std::get<CallResponse>(end).outcome, CallOutcome::NotRun);
}

TEST_F(CallPlanTest, endsAsUnknownWhenTheHolderOfAClaimHasRestarted)
{
    CallPlan call = plan(false);
    call.start(now_);
    CallResponse claimed;
    claimed.outcome = CallOutcome::Claimed;
    claimed.claimHolder = NodeId("c@0");
    const auto end = call.handleResponse(claimed, now_);
    EXPECT_EQ(std::get<CallResponse>(end).outcome, CallOutcome::Unknown);
}

TEST_F(CallPlanTest, doesNotRetryNestedCallsOfARetry)
{
    calls::CallRequest request;
    request.service = core::identity::ServiceName("payments");
    request.isIdempotent = true;
    request.attempt = 2;
    request.budget = std::chrono::milliseconds(500);
    CallPlan call({routing_, retries_, loads_}, snapshot_, snapshot_->targets[0], request, random_);
    call.start(now_);
    const auto end = call.handleResponse(CallResponse::unknown("broke"), now_);
    EXPECT_TRUE(std::holds_alternative<CallResponse>(end));
}

TEST_F(CallPlanTest, keepsRetriesWithinTheBudgetInAnOutage)
{
    int attempts = 0;
    constexpr int callCount = 2000;
    for (int i = 0; i < callCount; ++i) {
        CallPlan call = plan(true);
        PlanStep step = call.start(now_);
        while (std::holds_alternative<SendAttempt>(step)) {
            ++attempts;
            step = call.handleResponse(CallResponse::unknown("down"), now_);
        }
    }
    EXPECT_LE(attempts, callCount * 1.2 + retry::RetryBudget::defaultReserve + 1);
}

// With random outcomes in random orders: a call that is not idempotent is never sent again after it
// may have run, and it ends as not run exactly when no attempt may have run.
TEST_F(CallPlanTest, neverRunsTwiceNorEndsAsAFalseNotRunUnderRandomOutcomes)
{
    for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
        std::mt19937_64 random(seed);
        const bool isIdempotent = seed % 2 == 0;
        CallPlan call = plan(isIdempotent);
        PlanStep step = call.start(now_);
        int mayHaveRun = 0;
        while (std::holds_alternative<SendAttempt>(step)) {
            CallResponse outcome;
            switch (random() % 4) {
            case 0:
                outcome = CallResponse::notRun("no room");
                break;
            case 1:
                outcome = CallResponse::unknown("broke");
                ++mayHaveRun;
                break;
            case 2:
                outcome = completed(500);
                ++mayHaveRun;
                break;
            default:
                outcome = completed(200);
                ++mayHaveRun;
                break;
            }
            step = call.handleResponse(outcome, now_);
        }
        if (!isIdempotent) {
            EXPECT_LE(mayHaveRun, 1) << "seed " << seed;
        }
        const bool endedAsNotRun = std::get<CallResponse>(step).outcome == CallOutcome::NotRun;
        if (!isIdempotent) {
            EXPECT_EQ(endedAsNotRun, mayHaveRun == 0) << "seed " << seed;
        }
        now_ += std::chrono::seconds(10);
    }
}
