/** Tests what follows for idle connections when another one of the same server went silent. */
#include "SilencedServer.h"
#include "transport/http/AsyncClient.h"

#include <gtest/gtest.h>
#include <kj/vector.h>

using namespace boragetrack;
using std::chrono::milliseconds;
using transport::http::AsyncClient;
using transport::http::HttpRequest;
using transport::http::HttpResponse;

namespace {

/** A client with several idle connections to a server. */
class SilentConnection : public testing::Test
{
protected:
    static constexpr int idleConnections = 3;

    SilentConnection()
        : io_(kj::setupAsyncIo())
        , server_(io_)
        , client_(io_.provider->getNetwork(), io_.provider->getTimer(), server_.address())
    {
        sendTogether(idleConnections);
        EXPECT_EQ(server_.accepted(), idleConnections);
    }
    ~SilentConnection() noexcept override = default;

    kj::Promise<bool> start(milliseconds timeout)
    {
        return client_.send(HttpRequest{"GET", "/", {}, {}}, timeout)
                .then([](const absl::StatusOr<HttpResponse> &response) { return response.ok(); })
                .eagerlyEvaluate(nullptr);
    }

    bool send(milliseconds timeout) { return start(timeout).wait(io_.waitScope); }

    void sendTogether(int count)
    {
        kj::Vector<kj::Promise<bool>> running;
        for (int i = 0; i < count; ++i)
            running.add(start(milliseconds(2000)));
        for (auto &response : running)
            EXPECT_TRUE(response.wait(io_.waitScope));
    }

    kj::AsyncIoContext io_;
    tests::SilencedServer server_;
    AsyncClient client_;
};

} // namespace

// With one time-out for each idle connection, a node came back to its store seconds too late.
TEST_F(SilentConnection, oneTimeOutEndsTheUseOfAllThatMayBeSilent)
{
    server_.silence();
    EXPECT_FALSE(send(milliseconds(300)));
    EXPECT_TRUE(send(milliseconds(2000)));
}

// A long call whose response is lost says nothing about connections that responded meanwhile.
TEST_F(SilentConnection, aTimeOutKeepsConnectionsThatRespondedMeanwhile)
{
    server_.loseNextRequest();
    auto lost = start(milliseconds(600));
    sendTogether(idleConnections - 1);
    EXPECT_FALSE(lost.wait(io_.waitScope));
    sendTogether(idleConnections - 1);
    EXPECT_EQ(server_.accepted(), idleConnections);
}
