/** Tests that reports are recorded before they are sent, and sent as they were recorded. */
#include "control/usage/ReportDelivery.h"
#include "ManualLeaseClock.h"
#include "PendingStore.h"
#include "RecordingReceiver.h"

#include <gtest/gtest.h>

using namespace boragetrack;
using namespace boragetrack::control::usage;
using control::records::RecordPage;
using control::records::StoreRecord;
using core::identity::NodeId;
using core::identity::OrganisationName;
using core::identity::Revision;
using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::respond;

namespace {

const std::string key = "duty/report";
constexpr FencingToken token(50);

UsageReport makeReport(std::uint64_t window, std::uint64_t requests,
                       FencingToken writer = FencingToken{})
{
    return UsageReport{UsageWindow(window), {{OrganisationName("pulo780"), requests}}, writer};
}

/** A delivery with token 50. */
class ReportDeliveryTest : public testing::Test, protected ReportDeliveryListener
{
protected:
    void SetUp() override { delivery_.start(token); }

    void reportRecorded(const UsageReport &report) override
    {
        recorded_.push_back(report.window.number());
    }
    void reportAccepted(const UsageReport &report) override
    {
        accepted_.push_back(report.window.number());
    }
    void reportFailed(const UsageReport & /*report*/, const std::string &error) override
    {
        failures_.push_back(error);
    }
    void tokenSuperseded(const std::string & /*reason*/) override
    {
        ++superseded_;
        delivery_.stop();
    }
    void receiverSilent() override
    {
        ++silences_;
        delivery_.stop();
    }

    void tick()
    {
        clock_.time += milliseconds(100);
        delivery_.update(clock_.time + milliseconds(500));
    }

    void pass(milliseconds duration)
    {
        for (milliseconds passed{0}; passed < duration; passed += milliseconds(100))
            tick();
    }

    // Answers the pending listing with a report, or with none.
    void list(const std::optional<UsageReport> &report, std::uint64_t revision = 40)
    {
        RecordPage page;
        if (report)
            page.records.push_back(StoreRecord{key, Revision(revision), report->toText(), false});
        respond(store_.lists, absl::StatusOr<RecordPage>(page));
    }

    void commit(const absl::StatusOr<Revision> &response) { respond(store_.commits, response); }

    // Returns the report of the pending write.
    UsageReport written() const
    {
        return UsageReport::fromText(store_.commits.front().first.front().text).value();
    }
    Revision condition() const { return store_.commits.front().first.front().expected; }

    // Brings the delivery into the state in which it sends a report.
    void startSending(const UsageReport &report)
    {
        tick();
        list(std::nullopt);
        delivery_.deliver(report);
        tick();
        commit(Revision(60));
        tick();
        ASSERT_EQ(receiver_.calls.size(), 1U);
    }

    tests::PendingStore store_;
    tests::RecordingReceiver receiver_;
    tests::ManualLeaseClock clock_;
    std::vector<std::uint64_t> recorded_;
    std::vector<std::uint64_t> accepted_;
    std::vector<std::string> failures_;
    int superseded_ = 0;
    int silences_ = 0;
    ReportDelivery delivery_{ReportDelivery::Dependencies{store_, receiver_, clock_, *this,
                                                          NodeId("a"), key, milliseconds(100)}};
};

} // namespace

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
