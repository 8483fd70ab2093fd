/** One request on a server connection, and its answer. */
#pragma once

#include "transport/http/MessageReader.h"

namespace boragetrack::transport::http {

/** Gives a handler the request and takes the answer, whole or in pieces. */
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

    /** Returns the next piece of the request's body; rejects when the client breaks off. */
    kj::Promise<BodyPiece> readBody() { return reader_.readBody(); }

    /** Returns the request's body up to a limit. @see MessageReader::readBodyUpTo */
    kj::Promise<BodyPiece> readBodyUpTo(std::size_t limit) { return reader_.readBodyUpTo(limit); }

    /** Returns whether the request's body was read to its end. */
    bool isRequestRead() const { return reader_.message().isDone(); }

    /** Closes the connection after the answer. */
    void closeAfterResponse() { mustClose_ = true; }

    //==============================================================================
    /** Writes a whole answer. */
    kj::Promise<void> respond(const ResponseHead &head, const std::string &body);

    /** Begins an answer whose body follows in pieces. @param length nothing when it is unknown */
    kj::Promise<void> beginResponse(const ResponseHead &head, std::optional<std::uint64_t> length);

    /** Writes a piece of a begun answer. */
    kj::Promise<void> writePiece(const std::string &bytes);

    /** Ends a begun answer. */
    kj::Promise<void> endResponse();

    /** Returns whether a whole answer was written. */
    bool isResponseComplete() const { return isResponseComplete_; }

    /** Returns whether anything of an answer was written. */
    bool hasResponseBegun() const { return hasResponseBegun_; }

    /** Returns whether another request may follow on the connection. */
    bool keepsConnection() const;

private:
    kj::Promise<void> writeText(std::string text);

    RequestHead head_;
    MessageReader<RequestHead> &reader_;
    ReadAheadStream &stream_;
    bool mustClose_ = false;
    bool hasResponseBegun_ = false;
    bool isResponseComplete_ = false;
    bool isInChunks_ = false;
};

} // namespace boragetrack::transport::http
