/** Parses HTTP/1.1 messages as their bytes arrive. */
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

/**
    Parses one message with Boost.Beast, without any input or output of its own.

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

    /** Parses further bytes. @returns how many of them belong to the message; those that remain
        must be offered again together with later ones */
    std::size_t put(std::string_view bytes);

    /** Notes that no more bytes will come, which ends a response without a length. */
    void putEnd();

    /** Tells the parser that a response has no body whatever its headers say. */
    void skipBody();

    /** Returns why the message can not be read, if so. */
    const std::optional<MessageFault> &fault() const;

    /** Returns whether start line and headers are complete. */
    bool isHeadDone() const;

    /** Returns whether the whole message was parsed. */
    bool isDone() const;

    /** Returns whether the connection may carry another message after this one. */
    bool keepsConnection() const;

    /** Returns whether any byte of the message has arrived. */
    bool hasBegun() const;

    /** Returns the head; complete once isHeadDone(). */
    const Head &head() const;

    /** Returns the body's length if the headers give one. */
    std::optional<std::uint64_t> bodyLength() const;

    /** Returns the body's bytes parsed since the last call. */
    std::string takeBody();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

extern template class MessageParser<RequestHead>;
extern template class MessageParser<ResponseHead>;

} // namespace boragetrack::transport::http
