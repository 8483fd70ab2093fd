/** Incremental parser for HTTP/1.1 messages. */
#pragma once

#include "transport/http/MessageFault.h"
#include "transport/http/MessageLimits.h"
#include "transport/http/RequestHead.h"
#include "transport/http/ResponseHead.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace boragetrack::transport::http {

template <typename Head>
class BeastParser;

/**
    Parses one message with Boost.Beast from bytes that its user supplies; performs no I/O.

    The result does not depend on how the message is cut into pieces, nor on whether the same bytes
    are passed again without further ones.

    Instantiated for RequestHead and ResponseHead.
*/
template <typename Head>
class MessageParser
{
public:
    explicit MessageParser(const MessageLimits &limits);
    ~MessageParser();
    MessageParser(const MessageParser &) = delete;
    MessageParser &operator=(const MessageParser &) = delete;

    /** Parses further bytes.
        @returns the number of bytes consumed; the others must be passed again, followed by later
        ones */
    std::size_t put(std::string_view bytes);

    /** Signals the end of the input, which completes a body without a length. Any other incomplete
        message becomes a fault. */
    void putEnd();

    /** Makes the parser expect no body, whatever the headers of the response say. To be called
        before the first bytes are passed. */
    void skipBody() { hasBody_ = false; }

    /** Returns the fault that ended parsing, if there is one. */
    const std::optional<MessageFault> &fault() const { return fault_; }

    /** Returns whether the start line and the headers are complete. */
    bool isHeadDone() const { return parser_ != nullptr; }

    /** Returns whether the message is complete. */
    bool isDone() const;

    /** Returns whether the connection may carry another message after this one. */
    bool keepsConnection() const;

    /** Returns whether any byte of the message has arrived. */
    bool hasBegun() const { return hasBegun_; }

    /** Returns the head. Requires that isHeadDone() returns true. */
    const Head &head() const;

    /** Returns the length of the body in bytes if the headers give it. */
    std::optional<std::uint64_t> bodyLength() const;

    /** Removes and returns the body bytes that were parsed since the last call. */
    std::string takeBody();

private:
    bool mayComplete(std::string_view rest) const;
    std::size_t putHead(std::string_view rest);
    std::size_t putBody(std::string_view rest);
    void checkFraming(std::size_t elementBytes);

    const MessageLimits limits_;
    bool hasBody_ = true;
    bool hasBegun_ = false;
    std::optional<MessageFault> fault_;
    // Invariant: null until the head is complete.
    std::unique_ptr<BeastParser<Head>> parser_;
    // The number of unconsumed bytes that did not complete the next element.
    std::size_t seenBytes_ = 0;
    // The size of all chunk headers and the trailer.
    std::size_t framingBytes_ = 0;
};

extern template class MessageParser<RequestHead>;
extern template class MessageParser<ResponseHead>;

} // namespace boragetrack::transport::http
