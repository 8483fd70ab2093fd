/** Tests how a recorded report is sent and repeated. */
#include "ReportDeliveryTest.h"

using namespace boragetrack::tests::reportdelivery;

// Guards against a lost report, and against calls beyond the receiver's rate.
TEST_F(ReportDeliveryTest, repeatsAReportEachHalfSecondUntilItIsAccepted)
{
    startSending(makeReport(7, 3));
    pass(milliseconds(400));
    EXPECT_EQ(receiver_.calls.size(), 1U);
    tick();
    EXPECT_EQ(receiver_.calls.size(), 2U);
    receiver_.respond(absl::UnavailableError("down"));
    receiver_.respond(absl::UnknownError("lost"));
    EXPECT_EQ(failures_, std::vector<std::string>{"down"});
    pass(milliseconds(500));
    ASSERT_EQ(receiver_.calls.size(), 1U);
    EXPECT_EQ(receiver_.calls.front().report.counts, makeReport(7, 3).counts);
    receiver_.respond(absl::OkStatus());
    EXPECT_EQ(accepted_.size(), 1U);
    pass(seconds(2));
    EXPECT_TRUE(receiver_.calls.empty());
}

// Guards against calls after the lease may have ended.
TEST_F(ReportDeliveryTest, sendsNothingAfterTheGivenTime)
{
    startSending(makeReport(7, 3));
    clock_.time += seconds(1);
    delivery_.update(clock_.time);
    EXPECT_EQ(receiver_.calls.size(), 1U);
}

// Guards against a report that counts as accepted because of the response to an earlier one.
TEST_F(ReportDeliveryTest, ignoresALateResponseToAnEarlierReport)
{
    startSending(makeReport(7, 3));
    pass(milliseconds(500));
    receiver_.respond(absl::OkStatus());
    delivery_.deliver(makeReport(8, 4));
    tick();
    commit(Revision(61));
    receiver_.respond(absl::OkStatus());
    EXPECT_EQ(accepted_, std::vector<std::uint64_t>{7});
    EXPECT_FALSE(delivery_.isReady());
    tick();
    receiver_.respond(absl::OkStatus());
    EXPECT_EQ(accepted_, (std::vector<std::uint64_t>{7, 8}));
}

// Guards against calls with a token of which the receiver has seen a higher one.
TEST_F(ReportDeliveryTest, stopsWhenTheReceiverHasSeenAHigherToken)
{
    startSending(makeReport(7, 3));
    pass(milliseconds(500));
    receiver_.respond(absl::FailedPreconditionError("409"));
    EXPECT_EQ(superseded_, 1);
    receiver_.respond(absl::FailedPreconditionError("409"));
    EXPECT_EQ(superseded_, 1) << "the response to a call of a duty that has ended";
    pass(seconds(2));
    EXPECT_TRUE(receiver_.calls.empty());
}

// Guards against a 409 of an earlier duty that ends a later one.
TEST_F(ReportDeliveryTest, ignoresResponsesOfAnEarlierDuty)
{
    startSending(makeReport(7, 3));
    delivery_.stop();
    delivery_.start(FencingToken(70));
    receiver_.respond(absl::FailedPreconditionError("409"));
    EXPECT_EQ(superseded_, 0);
    tick();
    EXPECT_EQ(store_.lists.size(), 1U);
}

// Guards against a holder that keeps the duty without reaching the receiver, and one that gives up
// although the receiver responds.
TEST_F(ReportDeliveryTest, reportsAReceiverThatIsSilentForFiveSeconds)
{
    startSending(makeReport(7, 3));
    pass(milliseconds(4500));
    while (receiver_.calls.size() > 1)
        receiver_.respond(absl::UnknownError("lost"));
    receiver_.respond(absl::ResourceExhaustedError("429"));
    pass(milliseconds(5000));
    EXPECT_EQ(silences_, 0);
    pass(milliseconds(1000));
    EXPECT_EQ(silences_, 1);
}
