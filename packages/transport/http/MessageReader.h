/** Reads HTTP messages from a connection. */
#pragma once

#include "transport/http/BodyPiece.h"
#include "transport/http/MessageParser.h"
#include "transport/http/ReadAheadStream.h"
#include "transport/http/StreamEnd.h"

#include <kj/debug.h>
#include <variant>

namespace boragetrack::transport::http {

/** Reads one message after the other; at most one read is under way at a time. */
template <typename Head>
class MessageReader
{
public:
    using HeadResult = std::variant<Head, StreamEnd, MessageFault>;

    /** @param stream outlives the reader */
    MessageReader(ReadAheadStream &stream, const MessageLimits &limits)
        : stream_(stream)
        , limits_(limits)
    {}

    /** Changes the limits from the next message on. */
    void setLimits(const MessageLimits &limits) { limits_ = limits; }

    /** Returns the next message's head, or why there is none. The former message must be done. */
    kj::Promise<HeadResult> readHead()
    {
        parser_ = std::make_unique<MessageParser<Head>>(limits_);
        return continueHead();
    }

    /** Returns the body's next piece; rejects when the message breaks off or is malformed. */
    kj::Promise<BodyPiece> readBody()
    {
        parse();
        std::string bytes = parser_->takeBody();
        if (parser_->fault())
            return KJ_EXCEPTION(DISCONNECTED, "malformed body", parser_->fault()->reason.c_str());
        if (!bytes.empty() || parser_->isDone())
            return BodyPiece{std::move(bytes), parser_->isDone()};
        if (stream_.isEnded())
            return KJ_EXCEPTION(DISCONNECTED, "the connection ended within a body");
        return stream_.readMore().then([this]() { return readBody(); });
    }

    /** Returns a body's bytes up to a limit; the piece is the last one unless the limit was hit. */
    kj::Promise<BodyPiece> readBodyUpTo(std::size_t limit, std::string held = {})
    {
        return readBody().then([this, limit, held = std::move(held)](
                                       BodyPiece &&piece) mutable -> kj::Promise<BodyPiece> {
            held += piece.bytes;
            if (piece.isLast || held.size() >= limit)
                return BodyPiece{std::move(held), piece.isLast};
            return readBodyUpTo(limit, std::move(held));
        });
    }

    /** Returns the parser of the message that is being read. */
    const MessageParser<Head> &message() const { return *parser_; }

private:
    kj::Promise<HeadResult> continueHead()
    {
        parse();
        if (parser_->fault())
            return HeadResult(*parser_->fault());
        if (parser_->isHeadDone())
            return HeadResult(parser_->head());
        if (stream_.isEnded())
            return HeadResult(endOfInput());
        return stream_.readMore().then([this]() { return continueHead(); });
    }

    HeadResult endOfInput()
    {
        if (!parser_->hasBegun())
            return StreamEnd{stream_.isReset()};
        return MessageFault{400, "the connection ended within a message"};
    }

    void parse()
    {
        stream_.consume(parser_->put(stream_.bytes()));
        // A reset is no proper end: a body without a length stays incomplete then.
        if (stream_.isEnded() && !stream_.isReset() && parser_->isHeadDone())
            parser_->putEnd();
    }

    ReadAheadStream &stream_;
    MessageLimits limits_;
    std::unique_ptr<MessageParser<Head>> parser_;
};

} // namespace boragetrack::transport::http
