/** Tests verdicts, shares and records of moves. */
#include "control/moves/EvidenceOutbox.h"
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
    verdict.observeOldVersion(key("v1", "a"), counts(500, 1, milliseconds(3)));
    verdict.observeNewVersion(key("v2", "b"), counts(6, 6, milliseconds(3)));
    EXPECT_TRUE(verdict.regressionEvidence());
}

// Deposits that fail three times in a hundred where none failed before must not become the rule.
TEST(SequentialVerdict, findsAVersionThatFailsAFewCallsInAHundred)
{
    SequentialVerdict verdict;
    verdict.observeOldVersion(key("v1", "a"), counts(2000, 0, milliseconds(3)));
    for (int i = 0; i < 10 && !verdict.regressionEvidence(); ++i)
        verdict.observeNewVersion(key("v2", "b"), counts(33, 1, milliseconds(3)));
    EXPECT_TRUE(verdict.regressionEvidence());
}

TEST(SequentialVerdict, doesNotBlameANewVersionForATroubleThatBothMeet)
{
    SequentialVerdict verdict;
    verdict.observeOldVersion(key("v1", "a"), counts(2000, 0, milliseconds(3)));
    for (int i = 0; i < 20; ++i) {
        verdict.observeOldVersion(key("v1", "a"), counts(100, 4, milliseconds(3)));
        verdict.observeNewVersion(key("v2", "b"), counts(50, 2, milliseconds(3)));
    }
    EXPECT_FALSE(verdict.regressionEvidence());
}

// Calls inside calls fail in runs when there is no room; the old version met the same before.
TEST(SequentialVerdict, doesNotBlameANewVersionForRunsOfFailuresUnderOverload)
{
    SequentialVerdict verdict;
    verdict.observeOldVersion(key("v1", "a"), counts(2000, 580, milliseconds(3)));
    for (int run = 0; run < 10; ++run) {
        for (int i = 0; i < 10; ++i)
            verdict.observeNewVersion(key("v2", "b"), counts(1, 1, milliseconds(3)));
        verdict.observeNewVersion(key("v2", "b"), counts(20, 0, milliseconds(3)));
    }
    EXPECT_FALSE(verdict.regressionEvidence());
}

TEST(SequentialVerdict, earnsNoCreditFromLongGoodBehaviour)
{
    SequentialVerdict verdict;
    verdict.observeNewVersion(key("v2", "b"), counts(5000, 5, milliseconds(3)));
    EXPECT_FALSE(verdict.regressionEvidence());
    verdict.observeNewVersion(key("v2", "b"), counts(6, 6, milliseconds(3)));
    EXPECT_TRUE(verdict.regressionEvidence());
}

TEST(SequentialVerdict, doesNotBlameANewVersionForWhatTheOldOneDoesAsWell)
{
    SequentialVerdict verdict;
    verdict.observeOldVersion(key("v1", "a"), counts(1000, 150, milliseconds(3)));
    for (int i = 0; i < 100; ++i)
        verdict.observeNewVersion(key("v2", "b"), counts(20, 3, milliseconds(3)));
    EXPECT_FALSE(verdict.regressionEvidence());
}

TEST(SequentialVerdict, needsTwoSlowUpstreamsSinceOneMayBeCold)
{
    SequentialVerdict verdict;
    verdict.observeOldVersion(key("v1", "a"), counts(500, 0, milliseconds(3)));
    verdict.observeNewVersion(key("v2", "b"), counts(20, 0, milliseconds(3)));
    verdict.observeNewVersion(key("v2", "c"), counts(200, 0, milliseconds(60)));
    EXPECT_FALSE(verdict.regressionEvidence());
    verdict.observeNewVersion(key("v2", "b"), counts(10, 0, milliseconds(60)));
    EXPECT_TRUE(verdict.regressionEvidence());
}

// Two of five upstreams lose answers for a while: found when a good version was taken back so.
TEST(SequentialVerdict, doesNotBlameTheVersionForAFewOfItsUpstreams)
{
    EvidenceCounts losing = counts(4, 0, milliseconds(3));
    losing.broken = 3;
    SequentialVerdict lost;
    SequentialVerdict failing;
    for (const char *node : {"b", "c", "d", "e", "f"}) {
        lost.observeNewVersion(key("v2", node), counts(30, 0, milliseconds(3)));
        failing.observeNewVersion(key("v2", node), counts(30, 0, milliseconds(3)));
    }
    for (const char *node : {"b", "c"}) {
        lost.observeNewVersion(key("v2", node), losing);
        failing.observeNewVersion(key("v2", node), counts(20, 10, milliseconds(3)));
    }
    EXPECT_FALSE(lost.regressionEvidence());
    EXPECT_FALSE(failing.regressionEvidence());
    lost.observeNewVersion(key("v2", "d"), losing);
    failing.observeNewVersion(key("v2", "d"), counts(20, 10, milliseconds(3)));
    EXPECT_TRUE(lost.regressionEvidence());
    EXPECT_TRUE(failing.regressionEvidence());
}

TEST(ExponentialShare, staysSmallFirstAndIsWholeBeforeTheEnd)
{
    const ExponentialShare share;
    EXPECT_EQ(share.sharePercent(-0.1, true), 0.0);
    EXPECT_LE(share.sharePercent(0.3, true), 5.0);
    EXPECT_LE(share.sharePercent(0.55, false), 5.0);
    for (const bool hasSufficientEvidence : {true, false})
        EXPECT_DOUBLE_EQ(share.sharePercent(0.86, hasSufficientEvidence), 100.0);
}

TEST(EvidenceTable, countsCopiesOnceInAnyOrder)
{
    EvidenceTable table;
    EXPECT_EQ(table.merge({key("v2", "b"), counts(7, 2, milliseconds(3))})->calls, 7U);
    EXPECT_FALSE(table.merge({key("v2", "b"), counts(5, 1, milliseconds(3))}));
    EXPECT_EQ(table.merge({key("v2", "b"), counts(9, 3, milliseconds(3))})->failures, 1U);
}

namespace {

bool isOfV2(const EvidenceKey &key)
{
    return key.version == VersionName("v2");
}

const core::timing::MonotonicTime now{std::chrono::seconds(100)};

} // namespace

// A pacer may refuse a parcel, and a move may have more routes than fit into one.
TEST(EvidenceOutbox, losesNothingThatWaits)
{
    EvidenceOutbox outbox;
    std::vector<EvidenceEntry> own;
    for (int i = 0; i < 25; ++i) {
        EvidenceEntry entry{key("v2", "a"), counts(1, 1, milliseconds(3))};
        entry.key.route = RouteName("r" + std::to_string(i));
        own.push_back(entry);
    }
    const NodeId judge("j");
    std::set<EvidenceKey> received;
    for (int i = 0; i < 3; ++i) {
        const auto parcel = outbox.dueEntries(judge, own, isOfV2, now);
        EXPECT_LE(parcel.size(), EvidenceOutbox::maxEntriesPerBatch);
        outbox.recordSent(judge, parcel, now);
        for (const EvidenceEntry &entry : parcel)
            received.insert(entry.key);
    }
    EXPECT_EQ(received.size(), own.size());
    EXPECT_TRUE(outbox.dueEntries(judge, own, isOfV2, now).empty());
}

TEST(EvidenceOutbox, sendsNewVersionsAtOnceAndTheYardstickNowAndThen)
{
    EvidenceOutbox outbox;
    const NodeId judge("j");
    std::vector<EvidenceEntry> own{{key("v1", "a"), counts(10, 0, milliseconds(3))},
                                   {key("v2", "a"), counts(10, 0, milliseconds(3))}};
    auto parcel = outbox.dueEntries(judge, own, isOfV2, now);
    ASSERT_EQ(parcel.size(), 2U);
    EXPECT_TRUE(isOfV2(parcel[0].key));
    outbox.recordSent(judge, parcel, now);
    for (EvidenceEntry &entry : own)
        entry.counts.calls = 11;
    parcel = outbox.dueEntries(judge, own, isOfV2, now + milliseconds(200));
    ASSERT_EQ(parcel.size(), 1U);
    EXPECT_TRUE(isOfV2(parcel[0].key));
    EXPECT_EQ(outbox.dueEntries(judge, own, isOfV2, now + EvidenceOutbox::oldVersionSendInterval)
                      .size(),
              2U);
    own[0].counts.failures = 1;
    EXPECT_EQ(outbox.dueEntries(judge, own, isOfV2, now + milliseconds(200)).size(), 2U);
}

TEST(EvidenceOutbox, sendsEverythingToANewJudge)
{
    EvidenceOutbox outbox;
    const std::vector<EvidenceEntry> own{{key("v2", "a"), counts(10, 0, milliseconds(3))}};
    outbox.recordSent(NodeId("j"), own, now);
    EXPECT_EQ(outbox.dueEntries(NodeId("k"), own, isOfV2, now).size(), 1U);
    outbox.setEvaluators({NodeId("k")});
    EXPECT_EQ(outbox.dueEntries(NodeId("j"), own, isOfV2, now).size(), 1U);
}

TEST(MoveTracker, isDoneOnTimeWhenGoodAndOnlyWithAnUpstream)
{
    const StandardMovePolicies policies;
    const MoveTracker tracker(runningMove(), policies);
    const core::timing::WallTime end = runningMove().doneBy;
    EXPECT_FALSE(tracker.pendingRecord(end - std::chrono::seconds(60), true));
    EXPECT_EQ(tracker.pendingRecord(end, true)->state, MoveState::Done);
    EXPECT_EQ(tracker.pendingRecord(end, false)->state, MoveState::TakenBack);
}

TEST(MoveTracker, givesABadVersionNothingFromTheVerdictOn)
{
    const StandardMovePolicies policies;
    MoveTracker tracker(runningMove(), policies);
    tracker.observe(key("v2", "b"), counts(10, 10, milliseconds(3)));
    EXPECT_TRUE(tracker.evaluate());
    const RouteShare share = tracker.shareOf(RouteName("deposits"),
                                             runningMove().startAt + std::chrono::seconds(90));
    EXPECT_EQ(share.primary, VersionName("v1"));
    EXPECT_TRUE(share.secondary.isEmpty());
    EXPECT_EQ(tracker.pendingRecord(runningMove().doneBy, true)->state, MoveState::TakenBack);
}

TEST(MoveTracker, takesADoneMoveBackWhenItTurnsBadInItsWatchPeriod)
{
    const StandardMovePolicies policies;
    intent::MoveIntent move = runningMove();
    move.state = MoveState::Done;
    move.endedAt = move.doneBy;
    MoveTracker tracker(move, policies);
    tracker.observe(key("v2", "b"), counts(10, 10, milliseconds(3)));
    EXPECT_TRUE(tracker.evaluate());
    EXPECT_EQ(tracker.pendingRecord(move.doneBy, true)->state, MoveState::TakenBack);
    EXPECT_FALSE(tracker.isWatchOver(move.doneBy));
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
        coordinator.recordCall(call);
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
