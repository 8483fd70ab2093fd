/** Tests how the client tells an upstream that has ended from one that is full. */
#include "UpstreamListener.h"
#include "core/counters/Counter.h"
#include "tests/unit/ScriptedUpstream.h"
#include "transport/dialect/NativeDialect.h"

#include <gtest/gtest.h>

using namespace boragetrack;
using std::chrono::milliseconds;
using traffic::calls::CallOutcome;
using traffic::calls::CallRequest;
using transport::serving::UpstreamClient;
using transport::serving::UpstreamStatus;

namespace {

CallRequest callWithin(milliseconds budget)
{
    CallRequest request;
    request.method = "GET";
    request.target = "/";
    request.budget = budget;
    return request;
}

} // namespace

TEST(UpstreamEnd, isReportedWhenNothingListens)
{
    kj::AsyncIoContext io = kj::setupAsyncIo();
    transport::timing::PreciseTimer timer(io.provider->getTimer());
    const transport::dialect::NativeDialect dialect;
    core::counters::Counter opened;
    tests::UpstreamListener listener;
    UpstreamClient client(io.provider->getNetwork(), timer, dialect, opened, listener);
    {
        ScriptedUpstream ended(io, {});
        client.setAddress(ended.address());
    }
    const auto response
            = client.send(callWithin(milliseconds(500)), UpstreamStatus{}).wait(io.waitScope);
    EXPECT_EQ(response.outcome, CallOutcome::NotRun);
    EXPECT_EQ(listener.ends, 1);
}

// It refuses connections beyond its limit while it serves others.
TEST(UpstreamEnd, isNotReportedWhileACallHasAConnection)
{
    kj::AsyncIoContext io = kj::setupAsyncIo();
    transport::timing::PreciseTimer timer(io.provider->getTimer());
    const transport::dialect::NativeDialect dialect;
    core::counters::Counter opened;
    tests::UpstreamListener listener;
    UpstreamClient client(io.provider->getNetwork(), timer, dialect, opened, listener);
    auto receiver
            = io.provider->getNetwork().parseAddress("127.0.0.1:0").wait(io.waitScope)->listen();
    client.setAddress({"127.0.0.1", static_cast<std::uint16_t>(receiver->getPort())});
    const CallRequest running = callWithin(milliseconds(2000));
    auto first = client.send(running, UpstreamStatus{}).eagerlyEvaluate(nullptr);
    auto connection = receiver->accept().wait(io.waitScope);
    receiver = nullptr;
    const CallRequest refused = callWithin(milliseconds(500));
    EXPECT_EQ(client.send(refused, UpstreamStatus{}).wait(io.waitScope).outcome,
              CallOutcome::NotRun);
    EXPECT_EQ(listener.ends, 0);
}
