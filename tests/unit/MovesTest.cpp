/** Tests verdicts, shares and records of moves. */
#include "control/moves/MoveCoordinator.h"
#include "control/moves/MoveRecording.h"
#include "control/moves/StandardMovePolicies.h"
#include "tests/unit/TestIntent.h"

#include <gtest/gtest.h>

using namespace boragetrack;
using namespace boragetrack::control;
using namespace boragetrack::control::moves;
using core::identity::NodeId;
using core::identity::RouteName;
using core::identity::VersionName;
using intent::MoveState;
using std::chrono::milliseconds;

namespace {

EvidenceKey key(const std::string &version, const std::string &node)
{
    return {"m", RouteName("deposits"), VersionName(version), NodeId(node), 1};
}

EvidenceCounts counts(std::uint32_t calls, std::uint32_t failures, milliseconds latency)
{
    EvidenceCounts result;
    result.calls = calls;
    result.failures = failures;
    for (std::uint32_t i = 0; i < calls; ++i)
        result.latencies.add(latency);
    return result;
}

intent::MoveIntent runningMove()
{
    intent::MoveIntent move;
    move.id = "m";
    move.service = core::identity::ServiceName("payments");
    move.from = VersionName("v1");
    move.to = VersionName("v2");
    move.doneBy = move.startAt + std::chrono::minutes(2);
    return move;
}

} // namespace

TEST(SequentialVerdict, findsAVersionThatFailsWithinAFewCalls)
{
    SequentialVerdict verdict;
    verdict.observeOld(key("v1", "a"), counts(500, 1, milliseconds(3)));
    verdict.observeNew(key("v2", "b"), counts(6, 6, milliseconds(3)));
    EXPECT_TRUE(verdict.badEvidence());
}

TEST(SequentialVerdict, earnsNoCreditFromLongGoodBehaviour)
{
    SequentialVerdict verdict;
    verdict.observeNew(key("v2", "b"), counts(5000, 5, milliseconds(3)));
    EXPECT_FALSE(verdict.badEvidence());
    verdict.observeNew(key("v2", "b"), counts(6, 6, milliseconds(3)));
    EXPECT_TRUE(verdict.badEvidence());
}

TEST(SequentialVerdict, doesNotBlameANewVersionForWhatTheOldOneDoesAsWell)
{
    SequentialVerdict verdict;
    verdict.observeOld(key("v1", "a"), counts(1000, 150, milliseconds(3)));
    for (int i = 0; i < 100; ++i)
        verdict.observeNew(key("v2", "b"), counts(20, 3, milliseconds(3)));
    EXPECT_FALSE(verdict.badEvidence());
}

TEST(SequentialVerdict, needsTwoSlowUpstreamsSinceOneMayBeCold)
{
    SequentialVerdict verdict;
    verdict.observeOld(key("v1", "a"), counts(500, 0, milliseconds(3)));
    verdict.observeNew(key("v2", "b"), counts(20, 0, milliseconds(3)));
    verdict.observeNew(key("v2", "c"), counts(200, 0, milliseconds(60)));
    EXPECT_FALSE(verdict.badEvidence());
    verdict.observeNew(key("v2", "b"), counts(10, 0, milliseconds(60)));
    EXPECT_TRUE(verdict.badEvidence());
}

TEST(PlannedShare, staysSmallFirstAndIsWholeBeforeTheEnd)
{
    const PlannedShare share;
    EXPECT_EQ(share.sharePercent(-0.1, true), 0.0);
    EXPECT_LE(share.sharePercent(0.3, true), 5.0);
    EXPECT_LE(share.sharePercent(0.55, false), 5.0);
    for (const bool isSufficient : {true, false})
        EXPECT_DOUBLE_EQ(share.sharePercent(0.86, isSufficient), 100.0);
}

TEST(EvidenceTable, countsCopiesOnceInAnyOrder)
{
    EvidenceTable table;
    EXPECT_EQ(table.merge({key("v2", "b"), counts(7, 2, milliseconds(3))})->calls, 7U);
    EXPECT_FALSE(table.merge({key("v2", "b"), counts(5, 1, milliseconds(3))}));
    EXPECT_EQ(table.merge({key("v2", "b"), counts(9, 3, milliseconds(3))})->failures, 1U);
}

TEST(MoveTracker, isDoneOnTimeWhenGoodAndOnlyWithAnUpstream)
{
    const StandardMovePolicies policies;
    const MoveTracker tracker(runningMove(), policies);
    const core::timing::WallTime end = runningMove().doneBy;
    EXPECT_FALSE(tracker.missingRecord(end - std::chrono::seconds(60), true));
    EXPECT_EQ(tracker.missingRecord(end, true)->state, MoveState::Done);
    EXPECT_EQ(tracker.missingRecord(end, false)->state, MoveState::TakenBack);
}

TEST(MoveTracker, givesABadVersionNothingFromTheVerdictOn)
{
    const StandardMovePolicies policies;
    MoveTracker tracker(runningMove(), policies);
    tracker.observe(key("v2", "b"), counts(10, 10, milliseconds(3)));
    EXPECT_TRUE(tracker.judge());
    const RouteShare share = tracker.shareOf(RouteName("deposits"),
                                             runningMove().startAt + std::chrono::seconds(90));
    EXPECT_EQ(share.primary, VersionName("v1"));
    EXPECT_TRUE(share.secondary.isEmpty());
    EXPECT_EQ(tracker.missingRecord(runningMove().doneBy, true)->state, MoveState::TakenBack);
}

TEST(MoveTracker, takesADoneMoveBackWhenItTurnsBadInItsWatchPeriod)
{
    const StandardMovePolicies policies;
    intent::MoveIntent move = runningMove();
    move.state = MoveState::Done;
    move.endedAt = move.doneBy;
    MoveTracker tracker(move, policies);
    tracker.observe(key("v2", "b"), counts(10, 10, milliseconds(3)));
    EXPECT_TRUE(tracker.judge());
    EXPECT_EQ(tracker.missingRecord(move.doneBy, true)->state, MoveState::TakenBack);
    EXPECT_FALSE(tracker.isOver(move.doneBy));
}

TEST(MoveRecording, neverTurnsATakenBackMoveIntoADoneOne)
{
    nlohmann::json document = tests::intentJson();
    document["moves"].push_back(tests::moveJson("m", "payments"));
    ASSERT_TRUE(recordOutcome(document, {"m", MoveState::Done, "good"}, {}).ok());
    EXPECT_EQ(document["services"][0]["version"], "v2");
    EXPECT_FALSE(recordOutcome(document, {"m", MoveState::Done, "again"}, {}).ok());
    ASSERT_TRUE(recordOutcome(document, {"m", MoveState::TakenBack, "late"}, {}).ok());
    EXPECT_EQ(document["services"][0]["version"], "v1");
    EXPECT_FALSE(recordOutcome(document, {"m", MoveState::Done, "good"}, {}).ok());
    EXPECT_FALSE(recordOutcome(document, {"m", MoveState::TakenBack, "twice"}, {}).ok());
}

namespace {

class SilentListener : public MoveCoordinator::Listener
{
public:
    void moveStopped(const intent::MoveIntent & /*move*/, const std::string & /*evidence*/) override
    {}
};

} // namespace

// Once the old version's upstreams have been stopped, a verdict would leave nothing to serve.
TEST(MoveCoordinator, doesNotTakeBackAMoveThatIsFinalOnceDone)
{
    SilentListener listener;
    MoveCoordinator coordinator(NodeId("a"), 1, std::make_unique<StandardMovePolicies>(), listener);
    intent::IntentDocument document;
    document.moves.push_back(runningMove());
    document.moves[0].from = VersionName();
    document.moves[0].isFinalOnceDone = true;
    const core::timing::WallTime start{};
    coordinator.update(document, start);
    document.moves[0].state = MoveState::Done;
    coordinator.update(document, start + std::chrono::seconds(120));
    for (int i = 0; i < 50; ++i) {
        CallEvidence call;
        call.service = document.moves[0].service;
        call.version = VersionName("v2");
        call.route = RouteName("deposits");
        call.isFailed = true;
        coordinator.noteCall(call);
    }
    const auto share = coordinator.shareOf(document.moves[0].service, RouteName("deposits"), {},
                                           start + std::chrono::seconds(121));
    EXPECT_TRUE(share.mayServe(VersionName("v2")));
}

TEST(MoveCoordinator, keepsAVersionTakenBackExcludedWhenTheOldOneHasNoName)
{
    SilentListener listener;
    MoveCoordinator coordinator(NodeId("a"), 1, std::make_unique<StandardMovePolicies>(), listener);
    intent::IntentDocument document;
    document.moves.push_back(runningMove());
    document.moves[0].from = VersionName();
    document.moves[0].state = MoveState::TakenBack;
    coordinator.update(document, {});
    const auto share
            = coordinator.shareOf(document.moves[0].service, RouteName("deposits"), {}, {});
    EXPECT_FALSE(share.mayServe(VersionName("v2")));
    EXPECT_TRUE(share.mayServe(VersionName("v1")));
    EXPECT_TRUE(share.mayServe(VersionName("v3")));
}
