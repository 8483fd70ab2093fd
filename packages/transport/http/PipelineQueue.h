/** The order of the requests of one connection and of their responses. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace boragetrack::transport::http {

/**
    Decides which requests of a connection run at the same time, when their responses are written
    and which of them the connection still answers; performs no I/O.

    Concurrent requests run side by side. Any other request starts when all before it are answered,
    and nothing behind it is read before it is answered itself. At most one request has been read
    and not started, the last one.
*/
class PipelineQueue
{
public:
    /** Identifies a request; requests are numbered in the order in which they arrive. */
    using Number = std::uint64_t;

    /** Maximum number of requests that are in progress. */
    static constexpr std::size_t maximumRequests = 8;
    /** Maximum size of all requests in progress and all responses that wait for their turn, except
        those of the first request, in bytes. */
    static constexpr std::size_t maximumBytes = std::size_t{1024} * 1024;

    /** Returns whether no request is in progress. */
    bool isEmpty() const { return requests_.empty(); }

    //==============================================================================
    /** Returns whether the head of the next request may be read. */
    bool mayRead() const;

    /** Adds a request whose head was read. Its body counts as unread until handleRequestRead().
        @param isConcurrent whether it may run beside other requests
        @param bytes the size of the request; empty if unknown */
    Number add(bool isConcurrent, std::optional<std::size_t> bytes);

    /** Handles the end of the body of the request that was added last. */
    void handleRequestRead() { isBodyPending_ = false; }

    /** Starts the request that was added last, if it has not started and may.
        @returns whether it has started now */
    bool startNext();

    //==============================================================================
    /** Returns whether all requests before one are answered. */
    bool isFirst(Number number) const { return number == firstNumber_; }

    /** Notes that the response to the first request is being written. */
    void beginFirstResponse() { hasFirstResponseBegun_ = true; }

    /** Notes that a response waits for its turn. A response that exceeds the maximum size makes the
        connection close after the response before it, unless that one is being written.
        @param bytes of the response that are held
        @returns whether the response may wait */
    bool holdResponse(Number number, std::size_t bytes);

    /** Removes the first request, which was answered. */
    void finishFirst();

    //==============================================================================
    /** Makes the connection close after the response to a request. Those behind it are cancelled
        and no further one is read. */
    void closeAfter(Number number);

    /** Makes the connection close after the response to the last request that has started. */
    void closeAfterStarted();

    /** Returns whether the connection closes after the response to a request. */
    bool closesAfter(Number number) const { return last_ && number >= *last_; }

    /** Removes the request that arrived last if it is cancelled.
        @returns whether one was removed */
    bool removeCancelled();

private:
    struct Request
    {
        bool isConcurrent = false;
        bool isStarted = false;
        std::optional<std::size_t> requestBytes;
        std::size_t responseBytes = 0;
    };

    std::size_t bytesBeyondFirst() const;
    Number numberOfLast() const { return firstNumber_ + requests_.size() - 1; }

    std::deque<Request> requests_;
    // The number of the first request in progress, or of the next one.
    Number firstNumber_ = 1;
    // Whether the body of the last request has not been read completely.
    bool isBodyPending_ = false;
    bool hasFirstResponseBegun_ = false;
    // The last request that the connection answers; empty while it can carry further ones.
    std::optional<Number> last_;
};

} // namespace boragetrack::transport::http
