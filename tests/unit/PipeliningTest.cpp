/** Tests requests that a client sends before earlier ones are answered. */
#include "tests/unit/ConnectionFixture.h"

#include <gmock/gmock.h>

using namespace boragetrack;
using namespace transport::http;
using std::chrono::milliseconds;
using testing::ElementsAre;
using testing::IsEmpty;
using testing::UnorderedElementsAre;

namespace {

/** Requests of one connection. */
class PipeliningTest : public tests::ConnectionFixture
{
protected:
    ~PipeliningTest() noexcept override {}
};

const std::string postP = "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody";

} // namespace

// Guards against requests that wait for the responses before them, and against responses out of
// order.
TEST_F(PipeliningTest, runsConcurrentRequestsAtOnceAndAnswersInOrder)
{
    sendGets("abcd");
    EXPECT_THAT(handler_.started, ElementsAre("/a", "/b", "/c", "/d"));
    release("/d");
    release("/b");
    EXPECT_EQ(received_, "");
    release("/a");
    EXPECT_EQ(bodies(), "ab");
    release("/c");
    EXPECT_EQ(bodies(), "abcd");
    EXPECT_EQ(counters_.requests.value(), 3);
    sendGets("e");
    release("/e");
    EXPECT_EQ(bodies(), "abcde") << "the connection carries further requests";
    EXPECT_EQ(counters_.requests.value(), 3) << "a request alone is not pipelined";
}

// Guards against a client that occupies the node with any number of requests.
TEST_F(PipeliningTest, leavesFurtherRequestsUnread)
{
    sendGets("abcdefghij");
    EXPECT_EQ(handler_.started.size(), PipelineQueue::maximumRequests);
    release("/a");
    EXPECT_EQ(handler_.started.size(), PipelineQueue::maximumRequests + 1);
}

// Guards against a request with an effect that runs beside others, or twice.
TEST_F(PipeliningTest, runsAnyOtherRequestAloneAndInItsTurn)
{
    sendGets("ab");
    send(postP);
    sendGets("cd");
    EXPECT_THAT(handler_.started, ElementsAre("/a", "/b"));
    release("/b");
    EXPECT_THAT(handler_.started, ElementsAre("/a", "/b"));
    release("/a");
    EXPECT_THAT(handler_.started, ElementsAre("/a", "/b", "/p"));
    release("/p");
    EXPECT_THAT(handler_.started, ElementsAre("/a", "/b", "/p", "/c", "/d"));
    release("/c");
    release("/d");
    EXPECT_EQ(bodies(), "abpcd");
}

// Guards against a time budget that begins only when a request starts.
TEST_F(PipeliningTest, countsTheTimeOfARequestFromWhenItsHeadWasRead)
{
    sendGets("a");
    send(postP);
    const auto readBy = std::chrono::steady_clock::now();
    settle(milliseconds(50));
    release("/a");
    ASSERT_THAT(handler_.started, ElementsAre("/a", "/p"));
    EXPECT_LE(handler_.arrivals.at("/p"), readBy);
}

// Guards against bytes of responses behind one that closes the connection, and against requests
// behind it that go on running.
TEST_F(PipeliningTest, cancelsWhatIsBehindAClosingResponse)
{
    handler_.closing = "/b";
    sendGets("abcd");
    release("/c");
    release("/b");
    EXPECT_THAT(handler_.cancelled, ElementsAre("/d"));
    EXPECT_EQ(received_, "");
    release("/a");
    EXPECT_EQ(bodies(), "ab");
    EXPECT_TRUE(isClosed_);
    EXPECT_EQ(received_.find("Connection: close"), received_.rfind("Connection: close"));
    EXPECT_GT(received_.find("Connection: close"), received_.find("/a"));
    EXPECT_EQ(counters_.cancelled.value(), 2);
}

// Guards against a request behind one with "Connection: close" that is read nevertheless.
TEST_F(PipeliningTest, readsNothingBehindARequestThatClosesTheConnection)
{
    sendGets("a");
    send("GET /b HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    sendGets("c");
    EXPECT_THAT(handler_.started, ElementsAre("/a", "/b"));
    release("/b");
    release("/a");
    EXPECT_EQ(bodies(), "ab");
    EXPECT_TRUE(isClosed_);
}

// Guards against a planned stop that cancels requests which an upstream has run.
TEST_F(PipeliningTest, answersAllThatHaveStartedAtAPlannedStop)
{
    sendGets("abc");
    send(postP);
    handler_.isStopping = true;
    release("/c");
    release("/a");
    EXPECT_FALSE(isClosed_);
    release("/b");
    EXPECT_EQ(bodies(), "abc");
    EXPECT_TRUE(isClosed_);
    EXPECT_GT(received_.find("Connection: close"), received_.find("/b"));
    EXPECT_THAT(handler_.started, ElementsAre("/a", "/b", "/c")) << "the rest counts as not read";
    EXPECT_THAT(handler_.cancelled, IsEmpty());
}

// Guards against work for a client that is gone.
TEST_F(PipeliningTest, cancelsAllWhenTheClientDisconnects)
{
    sendGets("abc");
    release("/b");
    reading_ = nullptr;
    ends_.ends[1] = nullptr;
    settle();
    EXPECT_TRUE(hasEnded_);
    EXPECT_THAT(handler_.cancelled, UnorderedElementsAre("/a", "/c"));
    EXPECT_EQ(counters_.cancelled.value(), 0) << "counts only what a response has cancelled";
}

// Guards against a disconnection that is noticed late because much input is buffered at first.
TEST_F(PipeliningTest, noticesADisconnectionBehindABodyThatFilledTheBuffer)
{
    sendGets("a");
    const std::size_t length = 3 * ReadAheadStream::capacity;
    send("POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n"
         + std::string(ReadAheadStream::capacity, 'x'));
    release("/a");
    send(std::string(length - ReadAheadStream::capacity, 'x'));
    ASSERT_THAT(handler_.started, ElementsAre("/a", "/p"));
    reading_ = nullptr;
    ends_.ends[1] = nullptr;
    settle();
    EXPECT_THAT(handler_.cancelled, ElementsAre("/p"));
}

// Guards against input without end that is read ahead while the first request runs.
TEST_F(PipeliningTest, readsAheadUpToABound)
{
    send(postP);
    const std::string input(std::size_t{4} * 1024 * 1024, 'x');
    auto writing = ends_.ends[1]
                           ->write(input.data(), input.size())
                           .then([]() { return true; })
                           .exclusiveJoin(io_.provider->getTimer()
                                                  .afterDelay(100 * kj::MILLISECONDS)
                                                  .then([]() { return false; }));
    EXPECT_FALSE(writing.wait(io_.waitScope));
}

// Guards against responses that fill the memory while the first request is slow.
TEST_F(PipeliningTest, closesBeforeAResponseThatHasNoRoomToWait)
{
    handler_.sizes["/c"] = PipelineQueue::maximumBytes + 1;
    sendGets("abcd");
    release("/c");
    EXPECT_THAT(handler_.cancelled, ElementsAre("/d"));
    release("/b");
    release("/a");
    EXPECT_EQ(bodies(), "ab");
    EXPECT_FALSE(hasReceived("xx"));
    EXPECT_GT(received_.find("Connection: close"), received_.find("/a"));
    EXPECT_TRUE(isClosed_);
    EXPECT_EQ(counters_.cancelled.value(), 2);
}

// Guards against a connection that is closed as idle while its client waits for responses.
TEST_F(PipeliningTest, limitsTheIdleTimeOnlyWhileNoRequestIsInProgress)
{
    handler_.serverLimits.idleTimeout = milliseconds(60);
    sendGets("a");
    settle(milliseconds(150));
    sendGets("b");
    settle(milliseconds(150));
    EXPECT_THAT(handler_.cancelled, IsEmpty());
    release("/a");
    release("/b");
    EXPECT_EQ(bodies(), "ab");
    EXPECT_FALSE(isClosed_);
    settle(milliseconds(150));
    EXPECT_TRUE(isClosed_);
}

// Guards against a head without end behind a running request, and a 408 before its turn.
TEST_F(PipeliningTest, refusesAnOverdueHeadInItsTurn)
{
    handler_.serverLimits.headerTimeout = milliseconds(60);
    sendGets("a");
    send("GET /b HTT");
    EXPECT_EQ(partialRequests_, 1);
    settle(milliseconds(150));
    EXPECT_EQ(received_, "");
    EXPECT_EQ(partialRequests_, 0);
    release("/a");
    EXPECT_EQ(bodies(), "a");
    EXPECT_TRUE(hasReceived("HTTP/1.1 408"));
    EXPECT_TRUE(isClosed_);
}

// Guards against a malformed request that ends those before it, or that is answered first.
TEST_F(PipeliningTest, refusesMalformedInputInItsTurn)
{
    sendGets("ab");
    send("no request\r\n\r\n");
    release("/b");
    EXPECT_EQ(received_, "");
    release("/a");
    EXPECT_EQ(bodies(), "ab");
    EXPECT_GT(received_.find("HTTP/1.1 400"), received_.find("/b"));
    EXPECT_TRUE(isClosed_);
}

// Guards against a large or endless body that is buffered beside others.
TEST_F(PipeliningTest, startsALargeRequestOnlyAsTheFirst)
{
    sendGets("a");
    send("GET /b HTTP/1.1\r\nHost: a\r\nContent-Length: 2000000\r\n\r\n");
    EXPECT_THAT(handler_.started, ElementsAre("/a"));
    release("/a");
    EXPECT_THAT(handler_.started, ElementsAre("/a", "/b"));
}

// Guards against bodies of running requests that the budget does not count.
TEST_F(PipeliningTest, keepsTheBodiesOfRunningRequestsInTheBudget)
{
    const std::string body(100'000, 'x');
    for (const char *target : {"/a", "/b"}) {
        send(std::string("GET ") + target + " HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n"
             + body);
    }
    ASSERT_THAT(handler_.started, ElementsAre("/a", "/b"));
    EXPECT_GE(budget_.used(), 2 * body.size());
    release("/a");
    EXPECT_LT(budget_.used(), 4 * body.size());
    release("/b");
    EXPECT_EQ(budget_.used(), 0) << "an idle connection holds nothing";
}

// Guards against responses to requests before a failed one that are lost with it.
TEST_F(PipeliningTest, answersWhatIsBeforeAFailedRequest)
{
    sendGets("abc");
    handler_.fail("/b");
    settle();
    EXPECT_THAT(handler_.cancelled, UnorderedElementsAre("/b", "/c"));
    EXPECT_FALSE(hasFailed_);
    release("/a");
    EXPECT_EQ(bodies(), "a");
    EXPECT_TRUE(hasFailed_);
}
