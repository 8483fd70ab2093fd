/** Tests the time that a client has for the body of a request. */
#include "tests/unit/ConnectionFixture.h"

using namespace boragetrack;
using namespace transport::http;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t partBytes = std::size_t{16} * 1024;

/** A connection whose client sends a body of several parts. */
class UploadPaceTest : public tests::ConnectionFixture
{
protected:
    UploadPaceTest() { handler_.serverLimits.idleTimeout = milliseconds(500); }
    ~UploadPaceTest() noexcept override {}

    void sendHead(std::size_t bodyBytes)
    {
        send("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(bodyBytes)
             + "\r\n\r\n");
    }

    bool isOver() const { return hasEnded_ || hasFailed_; }
};

} // namespace

// Guards against an upload that stops midway and holds its room until its connection ends.
TEST_F(UploadPaceTest, endsABodyThatStops)
{
    sendHead(4 * partBytes);
    send(std::string(partBytes, 'x'));
    EXPECT_GE(budget_.used(), partBytes);
    settle(milliseconds(1500));
    EXPECT_TRUE(isOver());
    connection_ = nullptr;
    EXPECT_EQ(budget_.used(), 0);
}

// Guards against an upload that keeps its room by a byte now and then.
TEST_F(UploadPaceTest, endsABodyThatDribbles)
{
    sendHead(4 * partBytes);
    for (int i = 0; i < 75 && !isOver(); ++i)
        send("x");
    EXPECT_TRUE(isOver());
}

// Guards against a steady client that is refused because its whole body takes long.
TEST_F(UploadPaceTest, endsNoBodyThatArrivesSteadily)
{
    constexpr int parts = 30;
    sendHead(parts * partBytes);
    for (int i = 0; i < parts; ++i)
        send(std::string(partBytes, 'x'));
    release("/a");
    EXPECT_EQ(bodies(), "a");
    EXPECT_FALSE(isOver());
}

// Guards against idle connections that hold the room of requests which were answered.
TEST_F(UploadPaceTest, keepsNoRoomForAnIdleConnection)
{
    sendHead(4 * partBytes);
    send(std::string(4 * partBytes, 'x'));
    EXPECT_GE(budget_.used(), 4 * partBytes);
    release("/a");
    EXPECT_EQ(bodies(), "a");
    EXPECT_FALSE(isOver());
    EXPECT_EQ(budget_.used(), 0);
    EXPECT_EQ(memory_.used(), 0);
}
