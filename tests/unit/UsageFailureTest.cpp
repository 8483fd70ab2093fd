/** Brings about each failure of usage reports on its own, with several reporters in manual time. */
#include "UsageFleet.h"
#include "control/usage/ElectionOrder.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace boragetrack;
using namespace boragetrack::control::usage;
using core::identity::NodeId;
using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::UsageFleet;
using tests::UsageNode;

namespace {

constexpr std::size_t nodeCount = 4;

std::string textOf(const UsageCounts &counts)
{
    return UsageReport{UsageWindow{}, counts, FencingToken{}}.toText();
}

/** A fleet with a holder. */
class UsageFailureTest : public testing::Test
{
protected:
    void SetUp() override
    {
        const auto holder = fleet_.awaitHolder();
        ASSERT_TRUE(holder);
        fleet_.run(seconds(20));
        holder_ = *holder;
        ASSERT_TRUE(fleet_.node(holder_)->isHolder());
    }

    void TearDown() override { EXPECT_EQ(fleet_.faultText(), ""); }

    UsageNode &holder() { return *fleet_.node(holder_); }

    // Returns the place that comes after another one.
    static std::size_t after(std::size_t place) { return (place + 1) % nodeCount; }

    // Checks that all windows that began in a time and are due were reported exactly.
    void expectExact(std::uint64_t from, std::uint64_t to)
    {
        ASSERT_LE(from, to);
        for (std::uint64_t window = from; window <= to; ++window)
            EXPECT_EQ(textOf(fleet_.receiver.accepted[window]), textOf(fleet_.truth[window]))
                    << "window " << window;
    }

    // Returns a place by its rank in the order of the election.
    std::size_t placeInOrder(std::size_t rank)
    {
        std::vector<DutyHolder> members;
        for (std::size_t place = 0; place < nodeCount; ++place)
            members.push_back(fleet_.node(place)->self());
        const DutyHolder member = electionOrder(UsageReporter::holderKey, members)[rank];
        return static_cast<std::size_t>(std::find(members.begin(), members.end(), member)
                                        - members.begin());
    }

    // Counts one request at a place, and none after it, and lets the place send it.
    // @returns its window
    std::uint64_t countAt(std::size_t place)
    {
        fleet_.hasLoad = false;
        fleet_.run(fleet_.endOf(fleet_.windowBefore(0)) - fleet_.world.now() + milliseconds(20));
        const std::uint64_t window = fleet_.windowBefore(0);
        fleet_.node(place)->countRequest("pulo780");
        ++fleet_.truth[window][core::identity::OrganisationName("pulo780")];
        fleet_.run(milliseconds(1200));
        return window;
    }

    std::uint64_t firstReported() const { return fleet_.receiver.accepted.begin()->first; }
    std::uint64_t lastDue() const { return fleet_.windowEndedBefore(seconds(10)); }

    UsageFleet fleet_{nodeCount, 2};
    std::size_t holder_ = 0;
};

} // namespace

// Guards against wrong or late reports while nothing fails, and against avoidable calls.
TEST_F(UsageFailureTest, reportsEachWindowInTimeAndExactly)
{
    const std::size_t commits = fleet_.store.commits;
    const std::size_t lists = fleet_.store.lists;
    const std::size_t renewals = fleet_.store.renewals;
    const std::size_t grants = fleet_.store.grants;
    const std::size_t calls = holder().receiverClient().calls;
    fleet_.run(seconds(100));
    expectExact(firstReported(), lastDue());
    EXPECT_EQ(holder().gains, 1U);
    EXPECT_LE(fleet_.store.commits - commits, 20U) << "more than one write per window";
    EXPECT_EQ(fleet_.store.lists, lists);
    EXPECT_EQ(fleet_.store.grants, grants);
    EXPECT_LE(fleet_.store.renewals - renewals, 100U) << "more than one renewal per second";
    EXPECT_LE(holder().receiverClient().calls - calls, 20U) << "more than one call per window";
    for (const auto &[window, at] : fleet_.receiver.acceptedAt)
        EXPECT_LE(at, fleet_.endOf(window) + seconds(10)) << "window " << window;
    for (std::size_t place = 0; place < nodeCount; ++place)
        EXPECT_TRUE(fleet_.node(place)->incomplete.empty());
}

// Guards against the loss of counts, of a window or of time when the holder's process fails.
TEST_F(UsageFailureTest, theNextNodeReplacesAHolderThatFails)
{
    const std::uint64_t window = fleet_.windowBefore(0);
    fleet_.run(fleet_.endOf(window) - fleet_.world.now() + milliseconds(100));
    const auto highest = fleet_.receiver.highest;
    const auto failedAt = fleet_.world.now();
    fleet_.crash(holder_);
    while (!fleet_.holder() && fleet_.world.now() < failedAt + seconds(20))
        fleet_.run(milliseconds(100));
    EXPECT_LE(fleet_.world.now() - failedAt, seconds(5)) << "the lease of 3 s and an election";
    fleet_.run(seconds(30));
    EXPECT_GT(fleet_.receiver.highest, highest);
    // The holder's own counts of its last second are lost with it.
    expectExact(firstReported(), window - 1);
    expectExact(window + 2, lastDue());
    EXPECT_LE(fleet_.receiver.acceptedAt.at(window), fleet_.endOf(window) + seconds(10));
}

// Guards against a report that a successor sends with other counts than the holder recorded and
// perhaps sent before it failed.
TEST_F(UsageFailureTest, aSuccessorSendsWhatTheStoreHolds)
{
    fleet_.faults.isReceiverOut = true;
    const std::size_t commits = fleet_.store.commits;
    while (fleet_.store.commits == commits)
        fleet_.run(milliseconds(20));
    const auto recorded = UsageReport::fromText(
            fleet_.store.list(UsageReporter::reportKey).records.front().text);
    ASSERT_TRUE(recorded);
    fleet_.crash(holder_);
    fleet_.faults.isReceiverOut = false;
    fleet_.run(seconds(20));
    ASSERT_TRUE(fleet_.receiver.accepted.contains(recorded->window.number()));
    EXPECT_EQ(fleet_.receiver.accepted.at(recorded->window.number()), recorded->counts);
}

// Guards against a holder that sends after a pause, when another node has the duty.
TEST_F(UsageFailureTest, aPausedHolderSendsNothingWhenItResumes)
{
    holder().process().pause();
    fleet_.run(seconds(12));
    const auto successor = fleet_.holder();
    ASSERT_TRUE(successor);
    EXPECT_NE(*successor, holder_) << "the record of the paused holder did not expire";
    const std::size_t calls = holder().receiverClient().calls;
    // It learns nothing from others: its own clock must tell it.
    fleet_.cuts[holder_].isStoreCut = true;
    holder().process().resume();
    fleet_.run(seconds(3));
    EXPECT_EQ(holder().receiverClient().calls, calls);
    EXPECT_EQ(holder().losses.size(), 1U);
    fleet_.cuts[holder_].isStoreCut = false;
    fleet_.run(seconds(20));
    expectExact(lastDue() - 1, lastDue());
}

// Guards against a call that a paused holder had handed over, and that its sending thread finds
// when it resumes.
TEST_F(UsageFailureTest, aPausedHolderDoesNotSendWhatItHadHandedOver)
{
    const std::size_t calls = holder().receiverClient().calls;
    while (holder().receiverClient().calls == calls)
        fleet_.run(milliseconds(20));
    holder().process().pause();
    fleet_.run(seconds(15));
    holder().process().resume();
    fleet_.run(seconds(10));
}

// Guards against a conditional write of an earlier holder that replaces the report of a later one.
TEST_F(UsageFailureTest, aLateWriteOfAnEarlierHolderFails)
{
    holder().storeClient().nextCommitDelay = seconds(9);
    while (holder().storeClient().nextCommitDelay != milliseconds(0))
        fleet_.run(milliseconds(20));
    fleet_.crash(holder_);
    fleet_.run(seconds(40));
    EXPECT_GE(fleet_.store.conflicts, 1U) << "the write was not executed late";
    expectExact(lastDue() - 2, lastDue());
}

// Guards against the loss of the counts of a node that ended, up to its last snapshot.
TEST_F(UsageFailureTest, theCountsOfANodeThatFailsAreReported)
{
    const std::size_t failing = after(holder_);
    const std::uint64_t window = countAt(failing);
    fleet_.crash(failing);
    fleet_.run(seconds(20));
    expectExact(window, lastDue());
}

// Guards against the loss of the counts of an ended process when the holder fails right after it:
// the standby has them.
TEST_F(UsageFailureTest, theStandbyKeepsTheCountsOfNodesThatEnded)
{
    const std::uint64_t window = countAt(placeInOrder(3));
    fleet_.crash(placeInOrder(3));
    fleet_.crash(holder_);
    fleet_.run(seconds(25));
    expectExact(window, window);
}

// Guards against the loss of these counts when another node than the standby becomes the holder:
// the standby passes them on, and the holder does not report before.
TEST_F(UsageFailureTest, theStandbyPassesOnTheCountsOfNodesThatEnded)
{
    const std::size_t standby = holder_;
    ASSERT_EQ(standby, placeInOrder(0)) << "choose another seed";
    holder().reporter().beginStop();
    holder_ = *fleet_.awaitHolder();
    fleet_.run(seconds(10));
    const std::size_t failing = holder_ == placeInOrder(3) ? placeInOrder(2) : placeInOrder(3);
    const std::uint64_t window = countAt(failing);
    fleet_.crash(failing);
    fleet_.crash(holder_);
    const auto third = fleet_.awaitHolder();
    ASSERT_TRUE(third);
    ASSERT_NE(*third, standby) << "it stops and does not apply";
    fleet_.run(seconds(15));
    expectExact(window, window);
}

// Guards against the loss of these counts when the standby holds the duty for a while, fails to
// report, and the next holder has its final counts already.
TEST_F(UsageFailureTest, aHolderPassesOnTheCountsOfNodesThatEnded)
{
    const std::size_t standby = holder_;
    ASSERT_EQ(standby, placeInOrder(0)) << "choose another seed";
    fleet_.cuts[standby].isReceiverCut = true;
    while (holder().losses.empty())
        fleet_.run(milliseconds(20));
    holder_ = *fleet_.awaitHolder();
    const std::size_t failing = holder_ == placeInOrder(3) ? placeInOrder(2) : placeInOrder(3);
    const std::uint64_t window = countAt(failing);
    fleet_.crash(failing);
    fleet_.crash(holder_);
    fleet_.run(seconds(30));
    expectExact(window, window);
}

// Guards against a holder that waits for an unreachable node until the report is late.
TEST_F(UsageFailureTest, aWindowIsReportedWithoutANodeThatIsCutOff)
{
    const std::size_t cutOff = after(holder_);
    fleet_.cuts[cutOff].isPeersCut = true;
    const std::uint64_t window = fleet_.windowBefore(0) + 1;
    fleet_.run(seconds(25));
    ASSERT_TRUE(fleet_.receiver.accepted.contains(window));
    EXPECT_LE(fleet_.receiver.acceptedAt.at(window), fleet_.endOf(window) + seconds(10));
    EXPECT_EQ(holder().incomplete.at(window), std::vector{NodeId("gw-" + std::to_string(cutOff))});
    fleet_.cuts[cutOff].isPeersCut = false;
    fleet_.run(seconds(10));
    const std::uint64_t healed = fleet_.windowBefore(0);
    fleet_.run(seconds(30));
    expectExact(healed, lastDue());
}

// Guards against the loss of windows during an outage of the store, and against calls to the
// receiver without a lease.
TEST_F(UsageFailureTest, windowsWaitWhileTheStoreIsOut)
{
    fleet_.faults.isStoreOut = true;
    fleet_.run(seconds(4));
    EXPECT_FALSE(fleet_.holder());
    const std::size_t accepted = fleet_.receiver.accepted.size();
    fleet_.run(seconds(46));
    EXPECT_EQ(fleet_.receiver.accepted.size(), accepted);
    EXPECT_GE(holder().reporter().status().windowsWaiting, 8U);
    fleet_.faults.isStoreOut = false;
    fleet_.run(seconds(40));
    expectExact(firstReported(), lastDue());
}

// Guards against the loss of a recorded report while the store is out: the lease still allows to
// repeat it.
TEST_F(UsageFailureTest, aRecordedReportIsRepeatedWithinTheLease)
{
    fleet_.faults.isReceiverOut = true;
    const std::size_t calls = holder().receiverClient().calls;
    while (holder().receiverClient().calls == calls)
        fleet_.run(milliseconds(20));
    const std::size_t accepted = fleet_.receiver.accepted.size();
    fleet_.faults.isStoreOut = true;
    fleet_.faults.isReceiverOut = false;
    fleet_.run(milliseconds(1200));
    EXPECT_EQ(fleet_.receiver.accepted.size(), accepted + 1);
    fleet_.faults.isStoreOut = false;
}

// Guards against counts that are dropped in silence when an outage is longer than they are kept.
TEST_F(UsageFailureTest, droppedCountsAreReportedAsEvents)
{
    fleet_.faults.isStoreOut = true;
    const std::uint64_t window = fleet_.windowBefore(0);
    fleet_.run(seconds(90));
    EXPECT_EQ(std::count(holder().dropped.begin(), holder().dropped.end(), window), 1);
    fleet_.faults.isStoreOut = false;
    fleet_.run(seconds(60));
    expectExact(lastDue() - 3, lastDue());
}

// Guards against a second report of a window, or a report that is given up, when the receiver does
// not respond. Its outage is shorter than a holder's patience.
TEST_F(UsageFailureTest, aReportIsRepeatedExactlyUntilItIsAccepted)
{
    fleet_.faults.isReceiverOut = true;
    const std::size_t calls = holder().receiverClient().calls;
    while (holder().receiverClient().calls == calls)
        fleet_.run(milliseconds(20));
    fleet_.run(milliseconds(4200));
    EXPECT_GE(holder().receiverClient().calls, calls + 8) << "every half second";
    EXPECT_EQ(holder().failures.size(), 1U) << "one event for a series";
    fleet_.faults.isReceiverOut = false;
    fleet_.run(seconds(20));
    EXPECT_EQ(holder().gains, 1U);
    expectExact(firstReported(), lastDue());
}

// Guards against a holder that keeps the duty although only it can not reach the receiver, and one
// that takes it back at once.
TEST_F(UsageFailureTest, aHolderThatCanNotReachTheReceiverGivesUp)
{
    fleet_.cuts[holder_].isReceiverCut = true;
    const auto cutAt = fleet_.world.now();
    while (holder().losses.empty())
        fleet_.run(milliseconds(100));
    const auto lostAt = fleet_.world.now();
    EXPECT_LE(lostAt - cutAt, seconds(11)) << "a window and five seconds";
    EXPECT_EQ(holder().losses.front(), "the receiver does not respond");
    fleet_.run(seconds(5));
    ASSERT_TRUE(fleet_.holder());
    EXPECT_NE(*fleet_.holder(), holder_);
    for (std::size_t place = 0; place < nodeCount; ++place) {
        if (place != holder_)
            fleet_.crash(place);
    }
    while (!fleet_.holder())
        fleet_.run(milliseconds(100));
    EXPECT_GE(fleet_.world.now() - lostAt, seconds(10));
}

// Guards against calls after a 409, including a repeat that was handed over before it.
TEST_F(UsageFailureTest, aHolderThatIsFencedStopsAtOnce)
{
    const std::size_t calls = holder().receiverClient().calls;
    while (holder().receiverClient().calls == calls)
        fleet_.run(milliseconds(20));
    fleet_.receiver.highest = FencingToken(15);
    const auto token = holder().reporter().status().token;
    ASSERT_LT(token.number(), fleet_.receiver.highest.number()) << "adapt the number of the test";
    fleet_.run(seconds(8));
    EXPECT_EQ(holder().losses, std::vector<std::string>{"the receiver has seen a higher token"});
}

// Guards against a change of the counts by a call that the receiver executes after newer ones.
TEST_F(UsageFailureTest, aLateCallOfAnEarlierHolderChangesNothing)
{
    holder().receiverClient().nextDelay = seconds(15);
    const std::size_t calls = holder().receiverClient().calls;
    while (holder().receiverClient().calls == calls)
        fleet_.run(milliseconds(20));
    fleet_.run(milliseconds(300));
    fleet_.crash(holder_);
    fleet_.run(seconds(40));
    expectExact(lastDue() - 2, lastDue());
}

// Guards against a duty that nobody performs because the response to an application was lost.
TEST_F(UsageFailureTest, aLostResponseToAnApplicationIsSettledByListing)
{
    for (std::size_t place = 0; place < nodeCount; ++place)
        fleet_.node(place)->storeClient().losesNextCommitResponse = place != holder_;
    const std::size_t commits = fleet_.store.commits;
    fleet_.crash(holder_);
    const auto failedAt = fleet_.world.now();
    ASSERT_TRUE(fleet_.awaitHolder());
    EXPECT_LE(fleet_.world.now() - failedAt, seconds(7));
    EXPECT_LE(fleet_.store.commits - commits, 3U);
}

// Guards against a report with two contents because the response to its write was lost.
TEST_F(UsageFailureTest, aLostResponseToAReportIsSettledByListing)
{
    holder().storeClient().losesNextCommitResponse = true;
    const std::size_t commits = fleet_.store.commits;
    fleet_.run(seconds(30));
    EXPECT_LE(fleet_.store.commits - commits, 6U) << "the write was repeated";
    expectExact(firstReported(), lastDue());
}

// Guards against holders that alternate when the store loses its leases.
TEST_F(UsageFailureTest, aHolderDoesNotReturnAtOnceWhenTheStoreLosesLeases)
{
    fleet_.store.expireAll();
    while (holder().losses.empty())
        fleet_.run(milliseconds(100));
    const auto lostAt = fleet_.world.now();
    for (std::size_t place = 0; place < nodeCount; ++place) {
        if (place != holder_)
            fleet_.crash(place);
    }
    while (!fleet_.holder())
        fleet_.run(milliseconds(100));
    EXPECT_GE(fleet_.world.now() - lostAt, seconds(4));
}

// Guards against a new process that takes the duty of its predecessor, whose last call it can not
// know.
TEST_F(UsageFailureTest, aNewProcessWaitsBeforeItApplies)
{
    for (std::size_t place = 0; place < nodeCount; ++place)
        fleet_.crash(place);
    fleet_.run(seconds(3));
    fleet_.start(holder_);
    const auto startedAt = fleet_.world.now();
    ASSERT_TRUE(fleet_.awaitHolder());
    EXPECT_GE(fleet_.world.now() - startedAt, seconds(4));
}

// Guards against a first start that takes four seconds longer than needed.
TEST(UsageBootstrapTest, theFirstHolderDoesNotWait)
{
    UsageFleet fleet(nodeCount, 3);
    const auto startedAt = fleet.world.now();
    ASSERT_TRUE(fleet.awaitHolder());
    EXPECT_LE(fleet.world.now() - startedAt, seconds(4));
    EXPECT_EQ(fleet.faultText(), "");
}

// Guards against a planned stop that costs counts or leaves the duty with a process that ended.
TEST_F(UsageFailureTest, aHolderThatStopsHandsItsCountsOver)
{
    fleet_.run(fleet_.endOf(fleet_.windowBefore(0)) - fleet_.world.now() + milliseconds(3000));
    const std::uint64_t window = fleet_.windowBefore(0);
    holder().isStopping = true;
    holder().reporter().beginStop();
    EXPECT_EQ(holder().losses, std::vector<std::string>{"the node stops"});
    EXPECT_FALSE(holder().isHolder());
    fleet_.hasLoad = false;
    fleet_.run(milliseconds(1200));
    fleet_.crash(holder_);
    fleet_.run(seconds(25));
    expectExact(window, lastDue());
}
