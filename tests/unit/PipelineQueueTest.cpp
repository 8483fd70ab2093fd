/** Tests what may start, whose response is next and what is cancelled, without a network. */
#include "transport/http/PipelineQueue.h"

#include <gtest/gtest.h>

using boragetrack::transport::http::PipelineQueue;

namespace {

constexpr std::size_t smallRequest = 200;

/** Adds a request whose body was read at once, and starts it if it may. */
PipelineQueue::Number addAndStart(PipelineQueue &queue, bool isConcurrent,
                                  std::optional<std::size_t> bytes = smallRequest)
{
    EXPECT_TRUE(queue.mayRead());
    const PipelineQueue::Number number = queue.add(isConcurrent, bytes);
    if (queue.startNext())
        queue.handleRequestRead();
    return number;
}

} // namespace

// Guards against requests that run one after another although they may run at the same time.
TEST(PipelineQueue, startsConcurrentRequestsBesideEachOther)
{
    PipelineQueue queue;
    for (int i = 0; i < 4; ++i) {
        ASSERT_TRUE(queue.mayRead());
        queue.add(true, smallRequest);
        ASSERT_TRUE(queue.startNext());
        EXPECT_FALSE(queue.startNext()) << "a request starts once";
        queue.handleRequestRead();
    }
}

// Guards against a caller that occupies a node with requests without end.
TEST(PipelineQueue, boundsTheNumberOfRequestsInProgress)
{
    PipelineQueue queue;
    for (std::size_t i = 0; i < PipelineQueue::maximumRequests; ++i)
        addAndStart(queue, true);
    EXPECT_FALSE(queue.mayRead());
    queue.finishFirst();
    EXPECT_TRUE(queue.mayRead());
}

// Guards against the body of one request being parsed as the next request.
TEST(PipelineQueue, readsNoRequestBeforeTheBodyOfTheLastOneIsRead)
{
    PipelineQueue queue;
    queue.add(true, smallRequest);
    EXPECT_FALSE(queue.mayRead());
    ASSERT_TRUE(queue.startNext());
    EXPECT_FALSE(queue.mayRead());
    queue.handleRequestRead();
    EXPECT_TRUE(queue.mayRead());
}

// Guards against a request that runs beside one whose effect it may depend on.
TEST(PipelineQueue, runsAnyOtherRequestAlone)
{
    PipelineQueue queue;
    addAndStart(queue, true);
    addAndStart(queue, true);
    queue.add(false, smallRequest);
    EXPECT_FALSE(queue.startNext());
    queue.finishFirst();
    EXPECT_FALSE(queue.startNext()) << "one before it is not answered";
    queue.finishFirst();
    ASSERT_TRUE(queue.startNext());
    queue.handleRequestRead();
    EXPECT_FALSE(queue.mayRead()) << "nothing behind it is read before it is answered";
    queue.finishFirst();
    EXPECT_TRUE(queue.mayRead());
}

// Guards against large requests that are all buffered at once.
TEST(PipelineQueue, boundsTheBytesOfRequestsBeyondTheFirst)
{
    PipelineQueue queue;
    addAndStart(queue, true, 2 * PipelineQueue::maximumBytes);
    addAndStart(queue, true, PipelineQueue::maximumBytes / 2);
    queue.add(true, PipelineQueue::maximumBytes / 2 + 1);
    EXPECT_FALSE(queue.startNext());
    queue.finishFirst();
    EXPECT_TRUE(queue.startNext()) << "the one before it does not count any longer";
}

// Guards against a chunked body, whose size nobody knows, beyond the bound.
TEST(PipelineQueue, startsARequestOfUnknownSizeOnlyAsTheFirst)
{
    PipelineQueue queue;
    addAndStart(queue, true);
    queue.add(true, std::nullopt);
    EXPECT_FALSE(queue.startNext());
    queue.finishFirst();
    EXPECT_TRUE(queue.startNext());
}

// Guards against responses out of order.
TEST(PipelineQueue, answersInTheOrderOfTheRequests)
{
    PipelineQueue queue;
    const auto first = addAndStart(queue, true);
    const auto second = addAndStart(queue, true);
    EXPECT_TRUE(queue.isFirst(first));
    EXPECT_FALSE(queue.isFirst(second));
    queue.finishFirst();
    EXPECT_TRUE(queue.isFirst(second));
}

// Guards against waiting responses that fill the memory while the first request is slow.
TEST(PipelineQueue, closesBeforeAResponseThatExceedsTheMaximum)
{
    PipelineQueue queue;
    const auto first = addAndStart(queue, true);
    const auto second = addAndStart(queue, true);
    const auto third = addAndStart(queue, true);
    EXPECT_TRUE(queue.holdResponse(second, PipelineQueue::maximumBytes / 2));
    EXPECT_FALSE(queue.closesAfter(first));
    EXPECT_FALSE(queue.holdResponse(third, PipelineQueue::maximumBytes / 2));
    EXPECT_FALSE(queue.closesAfter(first));
    EXPECT_TRUE(queue.closesAfter(second));
    EXPECT_FALSE(queue.mayRead());
    EXPECT_TRUE(queue.removeCancelled());
    EXPECT_FALSE(queue.removeCancelled());
}

// Guards against an unannounced close: the head of the response before it is already written.
TEST(PipelineQueue, holdsALargeResponseWhileTheOneBeforeItIsWritten)
{
    PipelineQueue queue;
    addAndStart(queue, true);
    const auto second = addAndStart(queue, true);
    queue.beginFirstResponse();
    EXPECT_TRUE(queue.holdResponse(second, 2 * PipelineQueue::maximumBytes));
    EXPECT_FALSE(queue.mayRead()) << "further requests stay unread meanwhile";
    queue.finishFirst();
    EXPECT_TRUE(queue.mayRead()) << "the bytes of the first request don't count";
}

// Guards against bytes of a response behind one that closes the connection.
TEST(PipelineQueue, cancelsTheRequestsBehindAClosingResponse)
{
    PipelineQueue queue;
    const auto first = addAndStart(queue, true);
    addAndStart(queue, true);
    addAndStart(queue, true);
    queue.closeAfter(first);
    EXPECT_TRUE(queue.closesAfter(first));
    EXPECT_FALSE(queue.mayRead());
    EXPECT_TRUE(queue.removeCancelled());
    EXPECT_TRUE(queue.removeCancelled());
    EXPECT_FALSE(queue.removeCancelled());
    EXPECT_TRUE(queue.isFirst(first));
}

// Guards against a planned stop that cancels requests which an upstream has run.
TEST(PipelineQueue, closesAfterTheLastStartedRequestAtAPlannedStop)
{
    PipelineQueue queue;
    const auto first = addAndStart(queue, true);
    const auto second = addAndStart(queue, true);
    const auto held = queue.add(false, smallRequest);
    EXPECT_FALSE(queue.startNext());
    queue.closeAfterStarted();
    EXPECT_FALSE(queue.closesAfter(first));
    EXPECT_TRUE(queue.closesAfter(second));
    EXPECT_TRUE(queue.closesAfter(held));
    EXPECT_TRUE(queue.removeCancelled()) << "the one that waits counts as not read";
    EXPECT_FALSE(queue.removeCancelled());
    queue.finishFirst();
    EXPECT_FALSE(queue.startNext());
}

// Guards against a later decision that answers requests which were cancelled.
TEST(PipelineQueue, keepsTheEarliestClose)
{
    PipelineQueue queue;
    const auto first = addAndStart(queue, true);
    addAndStart(queue, true);
    queue.closeAfter(first);
    queue.closeAfterStarted();
    EXPECT_TRUE(queue.closesAfter(first));
}
