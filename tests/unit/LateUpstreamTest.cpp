/** Tests that an upstream's response which waits in the socket wins over the deadline of its call.
 */
#include "UpstreamListener.h"
#include "core/counters/Counter.h"
#include "transport/dialect/NativeDialect.h"
#include "transport/serving/UpstreamClient.h"

#include <gtest/gtest.h>
#include <thread>

using namespace boragetrack;
using std::chrono::milliseconds;
using traffic::calls::CallOutcome;
using traffic::calls::CallRequest;
using traffic::calls::CallResponse;
using transport::serving::UpstreamClient;
using transport::serving::UpstreamStatus;

TEST(LateUpstream, deliversAResponseThatWaitsInTheSocketAtTheDeadline)
{
    kj::AsyncIoContext io = kj::setupAsyncIo();
    transport::timing::PreciseTimer timer(io.provider->getTimer());
    const transport::dialect::NativeDialect dialect;
    core::counters::Counter opened;
    auto listener
            = io.provider->getNetwork().parseAddress("127.0.0.1:0").wait(io.waitScope)->listen();
    auto accepted = listener->accept().eagerlyEvaluate(nullptr);
    tests::UpstreamListener observer;
    UpstreamClient client(io.provider->getNetwork(), timer, dialect, opened, observer);
    client.setAddress({"127.0.0.1", static_cast<std::uint16_t>(listener->getPort())});
    CallRequest request;
    request.method = "GET";
    request.target = "/";
    request.budget = milliseconds(200);
    auto call = client.send(request, UpstreamStatus{}).eagerlyEvaluate(nullptr);
    auto stream = accepted.wait(io.waitScope);
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    auto held = timer.afterDelay(50 * kj::MILLISECONDS)
                        .then([&]() {
                            auto written = stream->write(response.data(), response.size());
                            std::this_thread::sleep_for(milliseconds(300));
                            return written;
                        })
                        .eagerlyEvaluate(nullptr);
    const CallResponse received = call.wait(io.waitScope);
    EXPECT_EQ(received.outcome, CallOutcome::Completed) << received.reason;
}
