/** Reads the HTTP messages that arrive on a stream. */
#pragma once

#include "transport/http/BodyPiece.h"
#include "transport/http/BufferBudget.h"
#include "transport/http/MessageParser.h"
#include "transport/http/ReadAheadStream.h"
#include "transport/http/StreamEnd.h"

#include <algorithm>
#include <kj/debug.h>
#include <optional>
#include <variant>

namespace boragetrack::transport::http {

/** Reads one message after another, each as its head and then its body in pieces. At most one read
    may be pending. */
template <typename Head>
class MessageReader
{
public:
    using HeadResult = std::variant<Head, StreamEnd, MessageFault>;

    /** @param stream outlives the reader
        @param budget limits the bodies that are read whole; null for no limit beyond that of each
                      body; outlives the reader */
    MessageReader(ReadAheadStream &stream, const MessageLimits &limits,
                  BufferBudget *budget = nullptr)
        : stream_(stream)
        , limits_(limits)
        , budget_(budget)
    {}

    /** Sets the limits that apply from the next message on. */
    void setLimits(const MessageLimits &limits) { limits_ = limits; }

    /** Returns the head of the next message, or the reason why there is none. The previous message
        must have been read completely. Interim responses are skipped.
        @param hasBody false for the response to a HEAD request, which has no body whatever its
                       headers say */
    kj::Promise<HeadResult> readHead(bool hasBody = true)
    {
        hasBody_ = hasBody;
        share_.reset();
        interimResponses_ = 0;
        interimBytes_ = 0;
        beginMessage();
        return continueHead();
    }

    /** Returns the next piece of the body. Rejects with DISCONNECTED if the message is malformed or
        incomplete. */
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

    /** Reads the body until it ends or reaches a limit; the last piece read may exceed the limit.
        Rejects as readBody() does, and with OVERLOADED if the budget does not allow it.
        @param limit in bytes; a body that reaches it before its end is returned with isLast false
        @param received bytes that were already read */
    kj::Promise<BodyPiece> readBodyUpTo(std::size_t limit, std::string received = {})
    {
        return readBody().then([this, limit, received = std::move(received)](
                                       BodyPiece &&piece) mutable -> kj::Promise<BodyPiece> {
            append(received, piece.bytes);
            // An empty string has a capacity, too; a request without a body needs no room.
            const std::size_t size = received.capacity();
            if (!received.empty() && !reserve(size, useFor(size))) {
                budget_->recordRefusal(size);
                return KJ_EXCEPTION(OVERLOADED, "too many bytes of bodies are buffered");
            }
            if (piece.isLast || received.size() >= limit)
                return BodyPiece{std::move(received), piece.isLast};
            return readBodyUpTo(limit, std::move(received));
        });
    }

    /** Takes room in the budget for the whole body of the current message. Has no effect on a body
        of unknown length or beyond the limit. @returns false if there is no room */
    bool takeRoom(std::size_t limit, RoomUse use)
    {
        const std::optional<std::uint64_t> length = parser_->bodyLength();
        return budget_ == nullptr || !length || *length > limit || reserve(*length, use);
    }

    /** Returns the bytes of a body that was read whole to the budget. To be called when the body is
        not kept any longer; otherwise the next message does it. */
    void releaseBody() { share_.reset(); }

    /** Removes and returns the part of the budget that the current body uses, for a body that is
        kept while the next message is read. @returns null for a body that uses none */
    std::unique_ptr<BufferBudget::Share> takeBodyShare() { return std::move(share_); }

    /** Returns the size of the current message, whose head was read; empty if only its end will
        tell. */
    std::optional<std::size_t> messageBytes() const
    {
        const std::optional<std::uint64_t> bodyLength = parser_->bodyLength();
        if (parser_->isDone())
            return consumedBytes_;
        return bodyLength ? std::optional<std::size_t>(consumedBytes_ + *bodyLength) : std::nullopt;
    }

    /** Returns the bytes of the current message that have been read. */
    std::size_t consumedBytes() const { return consumedBytes_; }

    /** Returns the parser of the current message. */
    const MessageParser<Head> &message() const { return *parser_; }

private:
    void beginMessage()
    {
        parser_ = std::make_unique<MessageParser<Head>>(limits_);
        if (!hasBody_)
            parser_->skipBody();
        consumedBytes_ = 0;
    }

    kj::Promise<HeadResult> continueHead()
    {
        parse();
        while (isInterimResponse()) {
            if (const auto fault = interimFault())
                return HeadResult(*fault);
            beginMessage();
            parse();
        }
        // A fault in a body that has arrived together with the head is reported with the body.
        if (parser_->isHeadDone())
            return HeadResult(parser_->head());
        if (parser_->fault())
            return HeadResult(*parser_->fault());
        if (stream_.isEnded())
            return HeadResult(endOfInput());
        return stream_.readMore().then([this]() { return continueHead(); });
    }

    bool isInterimResponse() const
    {
        if constexpr (std::is_same_v<Head, ResponseHead>)
            return !parser_->fault() && parser_->isHeadDone() && parser_->head().isInterim();
        return false;
    }

    // Counts an interim response. Returns why it ends the message, if it does.
    std::optional<MessageFault> interimFault()
    {
        interimBytes_ += consumedBytes_;
        if (++interimResponses_ > maximumInterimResponses || interimBytes_ > limits_.headerBytes)
            return MessageFault{400, "too many interim responses"};
        // No request asks for another protocol.
        if constexpr (std::is_same_v<Head, ResponseHead>) {
            if (parser_->head().status == ResponseHead::switchingProtocols)
                return MessageFault{400, "unrequested change of protocol"};
        }
        return std::nullopt;
    }

    // Appends to a body. A string doubles when it grows, which a body of known length need not.
    void append(std::string &received, const std::string &bytes) const
    {
        const std::size_t size = received.size() + bytes.size();
        const auto length = parser_->bodyLength();
        if (length && size > received.capacity()) {
            std::string grown;
            grown.reserve(std::max(size, std::min<std::size_t>(2 * received.capacity(), *length)));
            grown += received;
            received = std::move(grown);
        }
        received += bytes;
    }

    // The call of a response has run, and the part that was read can not wait.
    static RoomUse useFor(std::size_t bytes)
    {
        if constexpr (std::is_same_v<Head, ResponseHead>)
            return RoomUse::LateResponse;
        return BufferBudget::useOfBody(bytes);
    }

    // Makes the share of the current body at least as large.
    bool reserve(std::size_t bytes, RoomUse use)
    {
        if (budget_ == nullptr)
            return true;
        if (!share_) {
            share_ = std::make_unique<BufferBudget::Share>(*budget_);
            reservedBytes_ = 0;
        }
        if (bytes <= reservedBytes_)
            return true;
        if (share_->resize(bytes, use)) {
            reservedBytes_ = bytes;
            return true;
        }
        share_.reset();
        return false;
    }

    HeadResult endOfInput()
    {
        if (!parser_->hasBegun())
            return StreamEnd{stream_.isReset()};
        return MessageFault{400, "the connection ended within a message"};
    }

    void parse()
    {
        const std::size_t consumed = parser_->put(stream_.bytes());
        stream_.consume(consumed);
        consumedBytes_ += consumed;
        // Only a regular close completes a body without a length; after a reset it is incomplete.
        if (stream_.isEnded() && !stream_.isReset() && parser_->isHeadDone())
            parser_->putEnd();
    }

    ReadAheadStream &stream_;
    MessageLimits limits_;
    BufferBudget *budget_;
    // The part of the budget that the current body uses.
    std::unique_ptr<BufferBudget::Share> share_;
    std::size_t reservedBytes_ = 0;
    // The bytes of the current message that were consumed.
    std::size_t consumedBytes_ = 0;
    bool hasBody_ = true;
    // The interim responses that preceded the current message, and their size.
    int interimResponses_ = 0;
    std::size_t interimBytes_ = 0;
    std::unique_ptr<MessageParser<Head>> parser_;
};

} // namespace boragetrack::transport::http
