/** Tests that listeners accept connections again after accepting has failed several times in a row.
 */
#include "tests/unit/FailingNetwork.h"
#include "tests/unit/NoControl.h"
#include "transport/http/MetricsHandler.h"
#include "transport/http/ServerListener.h"
#include "transport/links/LinkListener.h"

#include <gtest/gtest.h>

using namespace boragetrack;
using traffic::calls::CallRequest;
using traffic::calls::CallResponse;

namespace {

/** Refuses each call. */
class NoCalls : public transport::links::CallServer
{
public:
    kj::Promise<CallResponse> serve(CallRequest /*request*/) override
    {
        return CallResponse::notRun("no upstream");
    }
    core::identity::NodeId claim(const core::identity::IdempotencyKey & /*key*/,
                                 const core::identity::NodeId &claimant) override
    {
        return claimant;
    }
    void release(const core::identity::IdempotencyKey & /*key*/,
                 const core::identity::NodeId & /*claimant*/) override
    {}
};

/** A listener accepts one connection and then fails three times, as when all file descriptors are
    in use for a moment. */
class ListenerFailureTest : public testing::Test
{
protected:
    static constexpr int failures = 3;

    ~ListenerFailureTest() noexcept override {}

    // Returns how often the listener accepted in the end.
    int acceptsAfterFailures(std::uint16_t port)
    {
        network_.failuresLeft = failures;
        auto address = io_.provider->getNetwork()
                               .parseAddress("127.0.0.1:" + std::to_string(port))
                               .wait(io_.waitScope);
        auto first = address->connect().wait(io_.waitScope);
        io_.provider->getTimer().afterDelay(200 * kj::MILLISECONDS).wait(io_.waitScope);
        EXPECT_EQ(network_.failuresLeft, 0);
        return network_.accepts;
    }

    kj::AsyncIoContext io_ = kj::setupAsyncIo();
    tests::FailingNetwork network_{io_.provider->getNetwork()};
    core::counters::CounterRegistry counters_;
};

// One accept for the first connection, and one that waits for the next.
constexpr int expectedAccepts = 2;

} // namespace

TEST_F(ListenerFailureTest, callersAreAcceptedAgain)
{
    transport::http::MetricsHandler handler(counters_);
    transport::http::ServerListener listener(network_, io_.provider->getTimer(), handler);
    // A port that is free at this moment.
    const auto port = static_cast<std::uint16_t>(io_.provider->getNetwork()
                                                         .parseAddress("127.0.0.1:0")
                                                         .wait(io_.waitScope)
                                                         ->listen()
                                                         ->getPort());
    ASSERT_TRUE(listener.listen({"127.0.0.1", port}, io_.waitScope).ok());
    EXPECT_EQ(acceptsAfterFailures(port), expectedAccepts);
}

TEST_F(ListenerFailureTest, linksAreAcceptedAgain)
{
    tests::NoControl control;
    NoCalls calls;
    transport::links::LinkListener listener(network_, io_.provider->getTimer(), control, calls,
                                            transport::links::LinkCounters(counters_));
    ASSERT_TRUE(listener.listen({"127.0.0.1", 0}, io_.waitScope).ok());
    EXPECT_EQ(acceptsAfterFailures(listener.port()), expectedAccepts);
}
