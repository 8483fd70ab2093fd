/** Implements ServerExchange. */
#include "transport/http/ServerExchange.h"

#include "transport/http/MessageWriter.h"

namespace boragetrack::transport::http {

kj::Promise<void> ServerExchange::respond(const ResponseHead &head, const std::string &body)
{
    hasResponseBegun_ = true;
    std::string text = serializeHead(head, body.size(), keepsConnection());
    if (head_.method != "HEAD")
        text += body;
    return writeText(std::move(text)).then([this]() { isResponseComplete_ = true; });
}

kj::Promise<void> ServerExchange::beginResponse(const ResponseHead &head,
                                                std::optional<std::uint64_t> length)
{
    hasResponseBegun_ = true;
    isInChunks_ = !length;
    return writeText(serializeHead(head, length, keepsConnection()));
}

kj::Promise<void> ServerExchange::writePiece(const std::string &bytes)
{
    return writeText(isInChunks_ ? encodeChunk(bytes) : bytes);
}

kj::Promise<void> ServerExchange::endResponse()
{
    return writeText(isInChunks_ ? lastChunk : "").then([this]() { isResponseComplete_ = true; });
}

bool ServerExchange::keepsConnection() const
{
    // A body that was not read would be taken for the next request.
    return !mustClose_ && isRequestRead() && reader_.message().keepsConnection();
}

kj::Promise<void> ServerExchange::writeText(std::string text)
{
    if (text.empty())
        return kj::READY_NOW;
    auto held = kj::heap<std::string>(std::move(text));
    auto written = stream_.write(kj::arrayPtr(held->data(), held->size()));
    return written.attach(kj::mv(held));
}

} // namespace boragetrack::transport::http
