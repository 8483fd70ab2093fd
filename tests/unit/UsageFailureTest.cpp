/** Brings about each failure of counting nodes, links, the store and the receiver on its own. */
#include "UsageFailureTest.h"

using namespace boragetrack::tests::usagefailure;

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

// Guards against a report with two contents because the response to its write was lost.
TEST_F(UsageFailureTest, aLostResponseToAReportIsSettledByListing)
{
    holder().storeClient().losesNextCommitResponse = true;
    const std::size_t commits = fleet_.store.commits;
    fleet_.run(seconds(30));
    EXPECT_LE(fleet_.store.commits - commits, 6U) << "the write was repeated";
    expectExact(firstReported(), lastDue());
}
