/** The client's side of a connection whose input is given. */
#pragma once

#include "ScriptedStream.h"
#include "transport/http/MessageReader.h"

#include <optional>

namespace boragetrack::tests {

/** Reads responses from one connection; nothing stands for one that failed. */
class ScriptedConnection
{
public:
    using End = ScriptedStream::End;

    /** The limit of a response's body. */
    static constexpr std::size_t bodyBytes = 4096;

    /** @param pieceBytes how many bytes arrive at a time */
    ScriptedConnection(const std::string &input, std::size_t pieceBytes, End end)
        : scope_(loop_)
        , stream_(kj::heap<ScriptedStream>(split(input, pieceBytes), end))
        , reader_(stream_, transport::http::MessageLimits{4096, bodyBytes})
    {}

    /** Begins to write a request, which may fail or remain unfinished. */
    void writeRequest()
    {
        writing_ = stream_.write(kj::StringPtr("GET / HTTP/1.1\r\n\r\n").asArray())
                           .catch_([](kj::Exception && /*exception*/) {})
                           .eagerlyEvaluate(nullptr);
    }

    /** Returns the body of the next response. */
    std::optional<std::string> readResponse()
    {
        auto head = reader_.readHead().wait(scope_);
        if (!std::holds_alternative<transport::http::ResponseHead>(head))
            return std::nullopt;
        status_ = std::get<transport::http::ResponseHead>(head).status;
        std::optional<std::string> body;
        reader_.readBodyUpTo(bodyBytes)
                .then([&](transport::http::BodyPiece &&piece) { body = std::move(piece.bytes); },
                      [](kj::Exception && /*exception*/) {})
                .wait(scope_);
        return body;
    }

    /** Returns the status of the last response whose head was read. */
    int status() const { return status_; }

    /** Reads on behind a response. Returns whether the connection was reset. */
    bool isResetNext()
    {
        stream_.readMore().wait(scope_);
        return stream_.isEnded() && stream_.isReset();
    }

    /** Returns whether another response may follow the last one. */
    bool isKept() const { return reader_.message().keepsConnection(); }

    /** Reads the only response of a connection. */
    static std::optional<std::string> read(const std::string &input, std::size_t pieceBytes,
                                           End end)
    {
        return ScriptedConnection(input, pieceBytes, end).readResponse();
    }

private:
    static std::deque<std::string> split(const std::string &text, std::size_t pieceBytes)
    {
        std::deque<std::string> pieces;
        for (std::size_t at = 0; at < text.size(); at += pieceBytes)
            pieces.push_back(text.substr(at, pieceBytes));
        return pieces;
    }

    kj::EventLoop loop_;
    kj::WaitScope scope_;
    transport::http::ReadAheadStream stream_;
    transport::http::MessageReader<transport::http::ResponseHead> reader_;
    kj::Promise<void> writing_ = nullptr;
    int status_ = 0;
};

} // namespace boragetrack::tests
