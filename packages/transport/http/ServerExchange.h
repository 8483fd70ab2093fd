/** One request on a server connection, and its response. */
#pragma once

#include "transport/http/MessageReader.h"

namespace boragetrack::transport::http {

/** Gives a handler access to the request and writes the response, whole or in pieces. */
class ServerExchange
{
public:
    ServerExchange(RequestHead head, MessageReader<RequestHead> &reader, ReadAheadStream &stream)
        : head_(std::move(head))
        , reader_(reader)
        , stream_(stream)
    {}
    ServerExchange(const ServerExchange &) = delete;
    ServerExchange &operator=(const ServerExchange &) = delete;

    /** Returns the request's head. */
    const RequestHead &head() const { return head_; }

    /** Returns the next piece of the request's body. @see MessageReader::readBody */
    kj::Promise<BodyPiece> readBody() { return reader_.readBody(); }

    /** Returns the request's body up to a limit. @see MessageReader::readBodyUpTo */
    kj::Promise<BodyPiece> readBodyUpTo(std::size_t limit) { return reader_.readBodyUpTo(limit); }

    /** Reads the rest of the request's body without keeping it, so that the connection can carry
        another request. Fails like readBody(). */
    kj::Promise<void> discardBody();

    /** Returns why reading the body failed, if the body was malformed or too large. */
    const std::optional<MessageFault> &bodyFault() const { return reader_.message().fault(); }

    /** Returns whether the request's body was read completely. */
    bool isRequestRead() const { return reader_.message().isDone(); }

    /** Makes the connection close after the response. */
    void closeAfterResponse() { mustClose_ = true; }

    //==============================================================================
    /** Writes a whole response. */
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
    kj::Promise<void> writeText(std::string text);

    RequestHead head_;
    MessageReader<RequestHead> &reader_;
    ReadAheadStream &stream_;
    bool mustClose_ = false;
    bool hasResponseBegun_ = false;
    bool isResponseComplete_ = false;
    bool isChunked_ = false;
};

} // namespace boragetrack::transport::http
