/** Brings about each failure of the holder of usage reports on its own. */
#include "UsageFailureTest.h"

using namespace boragetrack::tests::usagefailure;

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
