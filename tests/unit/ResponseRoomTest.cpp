/** Tests which of those that need room in memory get it: responses of calls that ran come first. */
#include "UpstreamListener.h"
#include "tests/unit/ScriptedUpstream.h"
#include "transport/dialect/NativeDialect.h"
#include "transport/http/MessageWriter.h"
#include "transport/serving/UpstreamClient.h"

#include <gtest/gtest.h>

using namespace boragetrack;
using namespace transport::http;
using std::chrono::milliseconds;
using traffic::calls::CallOutcome;
using traffic::calls::CallRequest;
using traffic::calls::CallResponse;
using transport::serving::UpstreamClient;
using transport::serving::UpstreamStatus;

namespace {

constexpr std::size_t maximum = 1'000'000;
constexpr std::size_t responseBytes = 600'000;

/** A client that takes the responses of others all the time. */
class SteadyReader final : public SlowReader
{
public:
    core::timing::MonotonicTime lastProgress() const override
    {
        return std::chrono::steady_clock::now();
    }
    void cutOff() override { isCutOff = true; }

    bool isCutOff = false;
};

/** A client of an upstream whose response needs much of the memory. */
class ResponseRoomTest : public testing::Test
{
protected:
    ResponseRoomTest()
    {
        client_.setAddress(upstream_.address());
        request_.requestId = "r-1";
        request_.method = "GET";
        request_.target = "/";
        request_.budget = std::chrono::seconds(3);
    }
    ~ResponseRoomTest() noexcept override {}

    static ScriptedResponse response()
    {
        return ScriptedResponse(serializeHead(ResponseHead{200, {}}, responseBytes, true)
                                + std::string(responseBytes, 'x'));
    }

    void settle(milliseconds time)
    {
        timer_.afterDelay(time.count() * kj::MILLISECONDS).wait(io_.waitScope);
    }

    kj::Promise<CallResponse> send()
    {
        return client_.send(request_, UpstreamStatus{}).eagerlyEvaluate(nullptr);
    }

    kj::AsyncIoContext io_ = kj::setupAsyncIo();
    core::counters::CounterRegistry counters_;
    MemoryBudget memory_{maximum, counters_};
    BufferBudget bodies_{maximum, &memory_};
    core::counters::Counter opened_;
    ScriptedUpstream upstream_{io_, ScriptedUpstream::Script{{response()}}};
    transport::timing::PreciseTimer timer_{io_.provider->getTimer()};
    tests::UpstreamListener listener_;
    const transport::dialect::NativeDialect dialect_;
    UpstreamClient client_{
            io_.provider->getNetwork(), timer_, dialect_, opened_, listener_, &memory_};
    CallRequest request_;
};

} // namespace

// Guards against calls that ran and end as unknown because new requests take the room that their
// responses wait for.
TEST_F(ResponseRoomTest, givesFreedRoomToAResponseThatWaitsBeforeALargeBody)
{
    ASSERT_TRUE(memory_.add(maximum));
    auto response = send();
    settle(milliseconds(50));
    BufferBudget::Share body(bodies_);
    memory_.remove(500'000);
    EXPECT_FALSE(body.resize(500'000));
    memory_.remove(200'000);
    EXPECT_EQ(response.wait(io_.waitScope).outcome, CallOutcome::Completed);
    EXPECT_TRUE(body.resize(500'000)) << "no response waits any longer";
}

// Guards against ordinary requests that are refused for as long as some response waits.
TEST_F(ResponseRoomTest, letsASmallBodyInWhileAResponseWaits)
{
    ASSERT_TRUE(memory_.add(maximum));
    auto response = send();
    settle(milliseconds(50));
    memory_.remove(500'000);
    BufferBudget::Share body(bodies_);
    EXPECT_TRUE(body.resize(1000));
}

// Guards against a client that is closed although it takes its response, and against calls that
// end as unknown because such clients hold all of the memory.
TEST_F(ResponseRoomTest, closesAnActiveReaderOnlyForAResponseThatHasWaited)
{
    SteadyReader reader;
    memory_.hold(reader, maximum);
    auto response = send();
    settle(milliseconds(100));
    EXPECT_FALSE(reader.isCutOff);
    EXPECT_EQ(response.wait(io_.waitScope).outcome, CallOutcome::Completed);
    EXPECT_TRUE(reader.isCutOff);
    memory_.release(reader, maximum);
}
