/** Tests the requests to the platform's usage interface, what its responses mean, and that nothing
    is sent once the lease may have expired. */
#include "RawServer.h"
#include "platform/PlatformUsageReceiver.h"
#include "platform/UsageCodec.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>
#include <kj/async-io.h>

using namespace boragetrack;
using namespace boragetrack::control::usage;
using core::identity::NodeId;
using core::identity::OrganisationName;
using platform::PlatformUsageReceiver;
using platform::UsageCodec;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using tests::RawServer;

namespace {

UsageReport exampleReport()
{
    return {UsageWindow(353'445'120),
            {{OrganisationName("pulo780"), 412}, {OrganisationName("ka\"bo"), 3}},
            FencingToken(9)};
}

std::string responseWith(int status)
{
    return absl::StrCat("HTTP/1.1 ", status, " Status\r\nContent-Length: 0\r\n\r\n");
}

/** Shows the time that a test sets. */
class SettableClock : public LeaseClock
{
public:
    nanoseconds now() const override { return time; }

    nanoseconds time{0};
};

class UsageReceiverTest : public testing::Test
{
protected:
    ~UsageReceiverTest() noexcept override {}

    // Sends a report before the given time and returns the result.
    absl::Status send(const core::identity::NetworkAddress &address, nanoseconds sendBefore,
                      nanoseconds clockOnceConnected = {}, FencingToken revoked = {})
    {
        const auto runHere = [](const std::function<void()> &task) {
            task();
            return true;
        };
        PlatformUsageReceiver receiver({address, runHere, runHere, clock_, counters_});
        transport::links::LoopContext context{io_.provider->getNetwork(), io_.provider->getTimer(),
                                              io_.waitScope};
        EXPECT_TRUE(receiver.start(context).ok());
        std::optional<absl::Status> result;
        receiver.send(exampleReport(), NodeId("n1"), FencingToken(12), sendBefore,
                      milliseconds(2000), [&](const absl::Status &status) { result = status; });
        clock_.time = clockOnceConnected;
        receiver.revoke(revoked);
        while (!result)
            io_.provider->getTimer().afterDelay(1 * kj::MILLISECONDS).wait(io_.waitScope);
        receiver.stop();
        return *result;
    }

    kj::AsyncIoContext io_ = kj::setupAsyncIo();
    core::counters::CounterRegistry counters_;
    SettableClock clock_;
};

} // namespace

TEST(UsageCodec, writesTheReportAsThePlatformExpectsIt)
{
    const auto request = UsageCodec::reportRequest(exampleReport(), NodeId("n1"), FencingToken(12));
    EXPECT_EQ(request.method, "POST");
    EXPECT_EQ(request.target, "/usage");
    EXPECT_EQ(request.header("X-Boragetrack-Duty-Holder"), "n1");
    // The token of the holder that sends, not of the one that recorded the report.
    EXPECT_EQ(request.header("X-Boragetrack-Fence-Token"), "12");
    EXPECT_EQ(request.header("Content-Type"), "application/json");
    EXPECT_EQ(request.body, R"({"windowId":353445120,"counts":{"ka\"bo":3,"pulo780":412}})");
}

// A refusal that is taken for a lost response would be repeated with a token that is out of date.
TEST_F(UsageReceiverTest, returnsTheErrorThatAResponseStandsFor)
{
    const std::pair<int, absl::StatusCode> responses[]
            = {{200, absl::StatusCode::kOk},
               {409, absl::StatusCode::kFailedPrecondition},
               {429, absl::StatusCode::kResourceExhausted},
               {503, absl::StatusCode::kUnavailable},
               {500, absl::StatusCode::kUnknown}};
    for (const auto &[status, code] : responses) {
        const RawServer server(responseWith(status), RawServer::End::Close);
        EXPECT_EQ(send(server.address(), nanoseconds(1)).code(), code) << status;
    }
    const RawServer silent("", RawServer::End::Close);
    EXPECT_EQ(send(silent.address(), nanoseconds(1)).code(), absl::StatusCode::kUnknown);
    EXPECT_EQ(counters_.counter("usage_reports_sent").value(), 6U);
    EXPECT_EQ(counters_.counter("usage_reports_fenced").value(), 1U);
}

TEST_F(UsageReceiverTest, tellsThatAnUnreachableReceiverExecutedNothing)
{
    std::optional<RawServer> server;
    server.emplace(responseWith(200), RawServer::End::Close);
    const core::identity::NetworkAddress address = server->address();
    server.reset();
    EXPECT_EQ(send(address, nanoseconds(1)).code(), absl::StatusCode::kUnavailable);
    EXPECT_EQ(counters_.counter("usage_reports_sent").value(), 0U);
}

// A holder that is paused while its connection is being opened must not send after its lease: its
// successor may have begun. The lease is valid when send() is called here.
TEST_F(UsageReceiverTest, sendsNothingOnceTheLeaseMayHaveExpired)
{
    const RawServer server(responseWith(200), RawServer::End::Close);
    EXPECT_EQ(send(server.address(), nanoseconds(10), nanoseconds(10)).code(),
              absl::StatusCode::kUnavailable);
    EXPECT_EQ(counters_.counter("usage_reports_sent").value(), 0U);
    clock_.time = nanoseconds(0);
    EXPECT_TRUE(send(server.address(), nanoseconds(10), nanoseconds(9)).ok());
}

// A duty that ends before its lease, for example by a refusal, must stop a report that was handed
// over before and waits for its connection.
TEST_F(UsageReceiverTest, sendsNothingWithATokenThatWasRevoked)
{
    const RawServer server(responseWith(200), RawServer::End::Close);
    for (const std::uint64_t revoked : {12, 13})
        EXPECT_EQ(send(server.address(), nanoseconds(1), {}, FencingToken(revoked)).code(),
                  absl::StatusCode::kUnavailable);
    EXPECT_EQ(counters_.counter("usage_reports_sent").value(), 0U);
    EXPECT_TRUE(send(server.address(), nanoseconds(1), {}, FencingToken(11)).ok());
}
