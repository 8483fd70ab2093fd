/** Tests that reports are recorded before they are sent, and what a new holder finds. */
#include "ReportDeliveryTest.h"

using namespace boragetrack::tests::reportdelivery;

// Guards against a report that is sent before it is recorded, so that a successor does not know it.
TEST_F(ReportDeliveryTest, recordsAReportBeforeItIsSent)
{
    tick();
    list(std::nullopt);
    EXPECT_TRUE(delivery_.isReady());
    delivery_.deliver(makeReport(7, 3));
    tick();
    ASSERT_EQ(store_.commits.size(), 1U);
    EXPECT_EQ(condition(), Revision{});
    EXPECT_EQ(written().token, token);
    pass(seconds(2));
    EXPECT_TRUE(receiver_.calls.empty());
    EXPECT_TRUE(recorded_.empty());
    commit(Revision(60));
    EXPECT_EQ(recorded_, std::vector<std::uint64_t>{7});
    tick();
    ASSERT_EQ(receiver_.calls.size(), 1U);
    EXPECT_EQ(receiver_.calls.front().report.counts, makeReport(7, 3).counts);
    EXPECT_EQ(receiver_.calls.front().token, token);
    receiver_.respond(absl::OkStatus());
    EXPECT_TRUE(delivery_.isReady());
    EXPECT_EQ(accepted_, std::vector<std::uint64_t>{7});
    delivery_.deliver(makeReport(8, 1));
    tick();
    EXPECT_EQ(condition(), Revision(60));
}

// Guards against an earlier holder that writes after its successor has sent.
TEST_F(ReportDeliveryTest, writesAnEarlierReportWithItsOwnTokenBeforeItSendsIt)
{
    tick();
    list(makeReport(7, 3, FencingToken(20)), 40);
    tick();
    ASSERT_EQ(store_.commits.size(), 1U);
    EXPECT_EQ(condition(), Revision(40));
    EXPECT_EQ(written().token, token);
    EXPECT_EQ(written().counts, makeReport(7, 3).counts);
    EXPECT_TRUE(receiver_.calls.empty());
    commit(Revision(60));
    tick();
    ASSERT_EQ(receiver_.calls.size(), 1U);
    EXPECT_EQ(receiver_.calls.front().report.counts, makeReport(7, 3).counts);
}

// Guards against a report of an earlier holder that is overwritten, although it was written after
// the listing.
TEST_F(ReportDeliveryTest, takesOverAReportThatWasWrittenMeanwhile)
{
    tick();
    list(std::nullopt);
    delivery_.deliver(makeReport(7, 99));
    tick();
    commit(absl::AbortedError("exists"));
    tick();
    list(makeReport(7, 3, FencingToken(20)), 55);
    tick();
    EXPECT_EQ(condition(), Revision(55));
    EXPECT_EQ(written().counts, makeReport(7, 3).counts);
    EXPECT_EQ(written().token, token);
    commit(Revision(60));
    tick();
    EXPECT_EQ(receiver_.calls.front().report.counts, makeReport(7, 3).counts);
}

// Guards against a second report of a window after a write whose response was lost.
TEST_F(ReportDeliveryTest, settlesAWriteWithoutResponseByListing)
{
    tick();
    list(std::nullopt);
    delivery_.deliver(makeReport(7, 3));
    tick();
    commit(absl::UnknownError("lost"));
    pass(milliseconds(500));
    list(makeReport(7, 3, token), 60);
    EXPECT_EQ(recorded_, std::vector<std::uint64_t>{7});
    EXPECT_TRUE(store_.commits.empty());
    tick();
    EXPECT_EQ(receiver_.calls.size(), 1U);
}

// Guards against other counts in a repeated write: the first one may still be executed.
TEST_F(ReportDeliveryTest, repeatsAWriteThatWasNotExecuted)
{
    startSending(makeReport(7, 3));
    receiver_.respond(absl::OkStatus());
    delivery_.deliver(makeReport(8, 4));
    tick();
    commit(absl::UnknownError("lost"));
    pass(milliseconds(500));
    list(makeReport(7, 3, token), 60);
    tick();
    ASSERT_EQ(store_.commits.size(), 1U);
    EXPECT_EQ(written().window, UsageWindow(8));
    EXPECT_EQ(written().counts, makeReport(8, 4).counts);
    EXPECT_EQ(condition(), Revision(60));
    EXPECT_TRUE(receiver_.calls.empty()) << "the report before was sent again";
}

// Guards against a holder that does not notice a later one.
TEST_F(ReportDeliveryTest, stopsWhenALaterHolderHasRecorded)
{
    tick();
    list(makeReport(7, 3, FencingToken(51)));
    EXPECT_EQ(superseded_, 1);
    pass(seconds(2));
    EXPECT_TRUE(store_.commits.empty());
    EXPECT_TRUE(receiver_.calls.empty());
}

// Guards against a duty that can not be performed because of a record that is no report.
TEST_F(ReportDeliveryTest, replacesARecordThatCanNotBeRead)
{
    tick();
    respond(store_.lists, absl::StatusOr<RecordPage>(RecordPage{
                                  {StoreRecord{key, Revision(40), "?", false}}, {}, false}));
    EXPECT_TRUE(delivery_.isReady());
    delivery_.deliver(makeReport(7, 3));
    tick();
    EXPECT_EQ(condition(), Revision(40));
}

// Guards against a storm of calls to a store that fails.
TEST_F(ReportDeliveryTest, repeatsFailedCallsToTheStoreAfterADelay)
{
    tick();
    respond(store_.lists, absl::StatusOr<RecordPage>(absl::UnavailableError("out")));
    pass(milliseconds(400));
    EXPECT_TRUE(store_.lists.empty());
    tick();
    list(std::nullopt);
    delivery_.deliver(makeReport(7, 3));
    tick();
    commit(absl::UnavailableError("out"));
    pass(milliseconds(400));
    EXPECT_TRUE(store_.commits.empty());
    tick();
    EXPECT_EQ(store_.commits.size(), 1U);
}
