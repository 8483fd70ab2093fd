/** Reading of all messages that arrive on a connection, for comparisons between cuts. */
#pragma once

#include "tests/unit/ScriptedStream.h"
#include "transport/http/MessageReader.h"

#include <deque>
#include <string>
#include <vector>

namespace boragetrack::tests {

/** The most bytes that one read of a ScriptedStream may supply. */
inline constexpr std::size_t readBytes = 4096;

/** Returns a message cut into pieces that are read one at a time.
    @param cuts positions in ascending order */
inline std::deque<std::string> piecesOf(const std::string &message,
                                        const std::vector<std::size_t> &cuts)
{
    std::deque<std::string> pieces;
    std::size_t begin = 0;
    const auto addUntil = [&](std::size_t end) {
        for (; begin < end; begin = std::min(end, begin + readBytes))
            pieces.push_back(message.substr(begin, std::min(end - begin, readBytes)));
    };
    for (const std::size_t cut : cuts)
        addUntil(cut);
    addUntil(message.size());
    return pieces;
}

inline std::string describe(const transport::http::HeaderList &headers)
{
    std::string text;
    for (const auto &field : headers)
        text += "|" + field.name + "=" + field.value;
    return text + "\n";
}

inline std::string describe(const transport::http::RequestHead &head)
{
    return head.method + " " + head.target + describe(head.headers);
}

inline std::string describe(const transport::http::ResponseHead &head)
{
    return std::to_string(head.status) + describe(head.headers);
}

/** Reads all messages that pieces of input hold, which end with a close.
    @param hasBody false to read responses to HEAD requests
    @returns the heads and bodies, and how the reading ended: with a fault and its status, or with
             the bytes that are left */
template <typename Head>
std::string readMessages(const std::deque<std::string> &pieces, bool hasBody)
{
    using namespace transport::http;
    constexpr MessageLimits limits{1024, 4096};
    kj::EventLoop loop;
    kj::WaitScope scope(loop);
    ReadAheadStream stream(kj::heap<ScriptedStream>(pieces, ScriptedStream::End::Close));
    MessageReader<Head> reader(stream, limits);
    std::string text;
    bool isKept = true;
    while (isKept) {
        auto result = reader.readHead(hasBody).wait(scope);
        if (const auto *fault = std::get_if<MessageFault>(&result))
            return text + "fault " + std::to_string(fault->status);
        const auto *head = std::get_if<Head>(&result);
        if (head == nullptr)
            break;
        text += describe(*head);
        bool hasFailed = false;
        reader.readBodyUpTo(2 * limits.bodyBytes)
                .then([&](BodyPiece &&body) { text += "body " + body.bytes + "\n"; },
                      [&](kj::Exception && /*exception*/) { hasFailed = true; })
                .wait(scope);
        if (hasFailed) {
            const auto &fault = reader.message().fault();
            return text + "failed body " + std::to_string(fault ? fault->status : 0);
        }
        isKept = reader.message().keepsConnection();
        text += isKept ? "kept\n" : "closed\n";
    }
    while (!stream.isEnded())
        stream.readMore().wait(scope);
    return text + "left " + std::string(stream.bytes());
}

} // namespace boragetrack::tests
