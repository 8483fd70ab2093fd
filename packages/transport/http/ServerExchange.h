/** One request on a server connection, and its response. */
#pragma once

#include "core/timing/MonotonicTime.h"
#include "transport/http/BodyPace.h"
#include "transport/http/MessageReader.h"
#include "transport/http/ResponseOrder.h"

namespace boragetrack::transport::http {

/** Gives a handler access to the request and writes the response, whole or in pieces. A response
    waits until those to all earlier requests of the connection are written. */
class ServerExchange
{
public:
    /** @param reader, @param stream and @param order outlive the exchange
        @param arrivedAt when the head was read */
    ServerExchange(RequestHead head, MessageReader<RequestHead> &reader, ReadAheadStream &stream,
                   ResponseOrder &order, PipelineQueue::Number number,
                   core::timing::MonotonicTime arrivedAt)
        : head_(std::move(head))
        , reader_(reader)
        , stream_(stream)
        , order_(order)
        , number_(number)
        , arrivedAt_(arrivedAt)
    {}
    ServerExchange(const ServerExchange &) = delete;
    ServerExchange &operator=(const ServerExchange &) = delete;

    /** Returns the number of the request on its connection. */
    PipelineQueue::Number number() const { return number_; }

    /** Returns the request's head. */
    const RequestHead &head() const { return head_; }

    /** Returns when the request's head was read. */
    core::timing::MonotonicTime arrivedAt() const { return arrivedAt_; }

    /** Limits the time for the request's body, which is read within it or fails as overdue.
        @param timer outlives the exchange
        @param period in which a part of the body has to arrive. @see BodyPace */
    void limitBodyTime(kj::Timer &timer, std::chrono::milliseconds period);

    /** Returns the next piece of the request's body. @see MessageReader::readBody */
    kj::Promise<BodyPiece> readBody();

    /** Returns the request's body up to a limit. @see MessageReader::readBodyUpTo */
    kj::Promise<BodyPiece> readBodyUpTo(std::size_t limit);

    /** Reads the rest of the request's body without keeping it, so that the connection can carry
        another request. Fails like readBody(). */
    kj::Promise<void> discardBody();

    /** Returns why reading the body failed, if the body was malformed, too large or overdue. */
    const std::optional<MessageFault> &bodyFault() const { return bodyFault_; }

    /** Returns whether the request's body was read completely. */
    bool isRequestRead() const { return isRequestRead_; }

    /** Makes the connection close after this response. Requests behind it are cancelled. */
    void closeAfterResponse() { order_.closeAfter(number_); }

    /** Makes the connection close once it has answered the requests that have started. */
    void closeAfterStarted() { order_.closeAfterStarted(); }

    //==============================================================================
    /** Writes a whole response. The request's body no longer counts as buffered from now on. */
    kj::Promise<void> respond(const ResponseHead &head, const std::string &body);

    /** Begins a response whose body follows in pieces.
        @param length of the body in bytes; empty if unknown, for a chunked body */
    kj::Promise<void> beginResponse(const ResponseHead &head, std::optional<std::uint64_t> length);

    /** Writes the next piece of the response's body. */
    kj::Promise<void> writePiece(const std::string &bytes);

    /** Ends a response that was begun with beginResponse(). */
    kj::Promise<void> endResponse();

    /** Returns whether a whole response was written. */
    bool isResponseComplete() const { return isResponseComplete_; }

    /** Returns whether writing a response has begun. */
    bool hasResponseBegun() const { return hasResponseBegun_; }

    /** Returns whether the connection can carry another request after this one. */
    bool keepsConnection() const;

private:
    kj::Promise<void> awaitTurn(std::size_t bytes);
    kj::Promise<void> writeWhole(const ResponseHead &head, const std::string &body);
    kj::Promise<void> writeText(std::string text);
    kj::Promise<void> writeFrom(const std::string &text, std::size_t begin);
    kj::Promise<BodyPiece> withinPace(kj::Promise<BodyPiece> reading);
    kj::Promise<BodyPiece> noteEnd(kj::Promise<BodyPiece> reading);
    void endReading();

    RequestHead head_;
    MessageReader<RequestHead> &reader_;
    ReadAheadStream &stream_;
    ResponseOrder &order_;
    const PipelineQueue::Number number_;
    const core::timing::MonotonicTime arrivedAt_;
    // Invariant: while false, the reader's current message is this request.
    bool isReadingOver_ = false;
    bool isRequestRead_ = false;
    bool keepsAlive_ = false;
    std::optional<MessageFault> bodyFault_;
    std::optional<BodyPace> pace_;
    // The part of the buffer budget that the body uses.
    std::unique_ptr<BufferBudget::Share> bodyShare_;
    bool hasResponseBegun_ = false;
    bool isResponseComplete_ = false;
    bool isChunked_ = false;
};

} // namespace boragetrack::transport::http
