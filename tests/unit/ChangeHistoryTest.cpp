/** Tests that a node notices by itself that a change came late or is missing. */
#include "control/distribution/ChangeHistory.h"
#include "ControlPlaneTest.h"
#include "TestIntent.h"
#include "core/events/ScopedEventSink.h"
#include "daemon/service/ChangeLog.h"

#include <gtest/gtest.h>

using namespace boragetrack;
using control::distribution::ChangeHistory;
using control::distribution::ChangeSource;
using control::records::ChangeOrigin;
using core::identity::NodeId;
using core::identity::Revision;
using std::chrono::milliseconds;

namespace {

const auto start = core::timing::MonotonicTime{} + std::chrono::hours(1);
const ChangeSource watch{ChangeOrigin::Watch, {}};
const ChangeSource peer{ChangeOrigin::Peer, NodeId("peer")};

/** A history that holds revision 7. */
class ChangeHistoryTest : public testing::Test
{
protected:
    ChangeHistoryTest() { history_.recordHeld(Revision(7), watch, start); }

    void report(std::uint64_t revision, std::optional<milliseconds> age, milliseconds at)
    {
        history_.recordReport(NodeId("peer"), Revision(revision), age, start + at);
    }

    ChangeHistory history_;
};

using ControlPlaneChangeTest = tests::ControlPlaneTest;

/** Keeps the codes of the events that are logged meanwhile. */
class RecordedCodes : public core::events::EventSink
{
public:
    void eventLogged(core::events::EventCode code, std::string_view /*message*/,
                     std::initializer_list<core::events::EventField> /*fields*/) override
    {
        codes.push_back(code);
    }

    std::vector<core::events::EventCode> codes;
};

} // namespace

TEST_F(ChangeHistoryTest, datesAChangeBackToWhenAnotherNodeHeldIt)
{
    report(9, milliseconds(1200), milliseconds(2000));
    ASSERT_TRUE(history_.missing());
    EXPECT_EQ(history_.missing()->revision, Revision(9));
    EXPECT_EQ(history_.missing()->knownSince, start + milliseconds(800));
    history_.recordHeld(Revision(9), peer, start + milliseconds(2100));
    EXPECT_EQ(history_.arrival().delay(), milliseconds(1300));
    EXPECT_EQ(history_.arrival().source.toString(), "peer");
    EXPECT_FALSE(history_.missing());
}

TEST_F(ChangeHistoryTest, countsAChangeThatNobodyReportedAsInTime)
{
    report(7, milliseconds(5000), milliseconds(2000));
    EXPECT_FALSE(history_.missing());
    history_.recordHeld(Revision(8), watch, start + milliseconds(3000));
    EXPECT_EQ(history_.arrival().delay(), milliseconds(0));
    EXPECT_EQ(history_.arrival().source.toString(), "watch");
}

// A node that is behind by several changes must not seem to lack only the last one.
TEST_F(ChangeHistoryTest, keepsTheEarliestReportOfSeveralMissingChanges)
{
    report(8, milliseconds(100), milliseconds(500));
    report(9, milliseconds(100), milliseconds(1500));
    EXPECT_EQ(history_.missing()->revision, Revision(8));
    EXPECT_EQ(history_.missing()->knownSince, start + milliseconds(400));
    report(9, milliseconds(1400), milliseconds(1600));
    EXPECT_EQ(history_.missing()->knownSince, start + milliseconds(200));
}

// A process that has just started lacks everything; that is not late.
TEST(ChangeHistory, reportsNothingBeforeItHoldsARevision)
{
    ChangeHistory history;
    history.recordReport(NodeId("peer"), Revision(9), milliseconds(5000), start);
    EXPECT_FALSE(history.missing());
    EXPECT_EQ(history.age(start), std::nullopt);
    history.recordHeld(Revision(9), watch, start);
    EXPECT_EQ(history.arrival().delay(), milliseconds(0));
    EXPECT_EQ(history.age(start + milliseconds(30)), milliseconds(30));
}

// Guards against a stuck node that stays silent because it doesn't know that it is late.
TEST_F(ControlPlaneChangeTest, tellsPeersForHowLongItHasHeldItsRevision)
{
    control::distribution::Exchange request;
    request.sender = NodeId("peer");
    EXPECT_EQ(plane_.exchangeReceived(request).revisionAge, std::nullopt);
    plane_.storeValueReceived(tests::envelopeText(5));
    timers_.advance(milliseconds(400));
    const auto response = plane_.exchangeReceived(request);
    EXPECT_EQ(response.revision, Revision(5));
    EXPECT_EQ(response.revisionAge, milliseconds(400));
    request.revision = Revision(6);
    request.revisionAge = milliseconds(250);
    plane_.exchangeReceived(request);
    ASSERT_TRUE(plane_.changes().missing());
    EXPECT_EQ(plane_.changes().missing()->knownSince, timers_.now() - milliseconds(250));
}

// Guards against a change that is late and leaves no line at the node that was late.
TEST_F(ControlPlaneChangeTest, warnsOnceOfAMissingChangeAndOnceMoreWhenItCame)
{
    core::counters::CounterRegistry counters;
    daemon::service::ChangeLog log(counters);
    RecordedCodes recorded;
    const core::events::ScopedEventSink sink(recorded);
    plane_.storeValueReceived(tests::envelopeText(5));
    control::distribution::Exchange report;
    report.sender = NodeId("peer");
    report.revision = Revision(6);
    plane_.exchangeReceived(report);
    timers_.advance(milliseconds(900));
    log.update(plane_, timers_.now());
    EXPECT_TRUE(recorded.codes.empty());
    timers_.advance(milliseconds(100));
    log.update(plane_, timers_.now());
    log.update(plane_, timers_.now());
    plane_.storeValueReceived(tests::envelopeText(6));
    log.intentInForce(plane_, timers_.now());
    using core::events::EventCode;
    EXPECT_EQ(recorded.codes, (std::vector{EventCode::ChangeMissing, EventCode::IntentApplied,
                                           EventCode::IntentLate}));
}
