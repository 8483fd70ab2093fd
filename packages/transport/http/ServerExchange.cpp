/** Chooses the framing of the response and whether the connection can carry another request. */
#include "transport/http/ServerExchange.h"

#include "transport/http/MessageWriter.h"

namespace boragetrack::transport::http {

kj::Promise<void> ServerExchange::discardBody()
{
    return reader_.readBody().then([this](BodyPiece &&piece) -> kj::Promise<void> {
        return piece.isLast ? kj::Promise<void>(kj::READY_NOW) : discardBody();
    });
}

kj::Promise<void> ServerExchange::respond(const ResponseHead &head, const std::string &body)
{
    hasResponseBegun_ = true;
    std::string text = head_.method == "HEAD"
                               ? serializeHeadWithoutBody(head, keepsConnection())
                               : serializeHead(head, body.size(), keepsConnection()) + body;
    return writeText(std::move(text)).then([this]() { isResponseComplete_ = true; });
}

kj::Promise<void> ServerExchange::beginResponse(const ResponseHead &head,
                                                std::optional<std::uint64_t> length)
{
    hasResponseBegun_ = true;
    isChunked_ = !length;
    return writeText(serializeHead(head, length, keepsConnection()));
}

kj::Promise<void> ServerExchange::writePiece(const std::string &bytes)
{
    return writeText(isChunked_ ? encodeChunk(bytes) : bytes);
}

kj::Promise<void> ServerExchange::endResponse()
{
    return writeText(isChunked_ ? lastChunk : "").then([this]() { isResponseComplete_ = true; });
}

bool ServerExchange::keepsConnection() const
{
    // The unread part of a request's body would be parsed as the next request.
    return !mustClose_ && isRequestRead() && reader_.message().keepsConnection();
}

kj::Promise<void> ServerExchange::writeText(std::string text)
{
    if (text.empty())
        return kj::READY_NOW;
    auto buffer = kj::heap<std::string>(std::move(text));
    auto written = stream_.write(kj::arrayPtr(buffer->data(), buffer->size()));
    return written.attach(kj::mv(buffer));
}

} // namespace boragetrack::transport::http
