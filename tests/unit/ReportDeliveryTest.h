/** A delivery with a store and a receiver whose calls stay pending. */
#pragma once

#include "ManualLeaseClock.h"
#include "PendingStore.h"
#include "RecordingReceiver.h"
#include "control/usage/ReportDelivery.h"

#include <gtest/gtest.h>

namespace boragetrack::tests::reportdelivery {

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

const std::string key = "duty/report";
constexpr FencingToken token(50);

inline UsageReport makeReport(std::uint64_t window, std::uint64_t requests,
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

} // namespace boragetrack::tests::reportdelivery
