/** Chooses the framing of the response and whether the connection can carry another request. The
    head of a response is serialized at its turn, since what arrives meanwhile decides whether the
    connection closes after it. */
#include "transport/http/ServerExchange.h"

#include "transport/http/MessageWriter.h"

#include <algorithm>

namespace boragetrack::transport::http {

namespace {

constexpr int requestTimeout = 408;
// The size of the parts in which a response is written. Whether a client reads shows only when a
// part is complete.
constexpr std::size_t partBytes = std::size_t{16} * 1024;

std::size_t sizeOf(const ResponseHead &head, const std::string &body)
{
    std::size_t size = body.size();
    for (const auto &field : head.headers)
        size += field.name.size() + field.value.size();
    return size;
}

} // namespace

void ServerExchange::limitBodyTime(kj::Timer &timer, std::chrono::milliseconds period)
{
    pace_.emplace(timer, period, [this]() { return reader_.consumedBytes(); });
}

kj::Promise<BodyPiece> ServerExchange::readBody()
{
    if (isRequestRead_)
        return BodyPiece{{}, true};
    return noteEnd(withinPace(reader_.readBody()));
}

kj::Promise<BodyPiece> ServerExchange::readBodyUpTo(std::size_t limit)
{
    if (isRequestRead_)
        return BodyPiece{{}, true};
    return noteEnd(withinPace(reader_.readBodyUpTo(limit)));
}

kj::Promise<void> ServerExchange::discardBody()
{
    return readBody().then([this](BodyPiece &&piece) -> kj::Promise<void> {
        return piece.isLast ? kj::Promise<void>(kj::READY_NOW) : discardBody();
    });
}

kj::Promise<BodyPiece> ServerExchange::withinPace(kj::Promise<BodyPiece> reading)
{
    if (!pace_ || reader_.message().isDone())
        return reading;
    return reading.exclusiveJoin(pace_->whenTooSlow().then([this]() -> kj::Promise<BodyPiece> {
        bodyFault_ = MessageFault{requestTimeout, "timeout while reading the body of the request"};
        return KJ_EXCEPTION(DISCONNECTED, "timeout while reading the body of the request");
    }));
}

kj::Promise<BodyPiece> ServerExchange::noteEnd(kj::Promise<BodyPiece> reading)
{
    return reading.then(
            [this](BodyPiece &&piece) -> kj::Promise<BodyPiece> {
                if (piece.isLast)
                    endReading();
                return std::move(piece);
            },
            [this](kj::Exception &&exception) -> kj::Promise<BodyPiece> {
                endReading();
                return kj::mv(exception);
            });
}

void ServerExchange::endReading()
{
    if (isReadingOver_)
        return;
    isReadingOver_ = true;
    isRequestRead_ = reader_.message().isDone();
    keepsAlive_ = reader_.message().keepsConnection();
    if (!bodyFault_)
        bodyFault_ = reader_.message().fault();
    bodyShare_ = reader_.takeBodyShare();
    // The unread part of a request's body would be parsed as the next request.
    order_.handleRequestRead(number_, isRequestRead_ && keepsAlive_);
}

kj::Promise<void> ServerExchange::respond(const ResponseHead &head, const std::string &body)
{
    endReading();
    bodyShare_ = nullptr;
    if (order_.isFirst(number_))
        return writeWhole(head, body);
    auto held = order_.hold(sizeOf(head, body));
    return awaitTurn(sizeOf(head, body)).then([this, head, body, held = std::move(held)]() mutable {
        held = nullptr;
        return writeWhole(head, body);
    });
}

kj::Promise<void> ServerExchange::beginResponse(const ResponseHead &head,
                                                std::optional<std::uint64_t> length)
{
    endReading();
    isChunked_ = !length;
    return awaitTurn(sizeOf(head, {})).then([this, head, length]() {
        hasResponseBegun_ = true;
        order_.beginFirstResponse();
        return writeText(serializeHead(head, length, keepsConnection()));
    });
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
    return isRequestRead_ && keepsAlive_ && !order_.closesAfter(number_);
}

kj::Promise<void> ServerExchange::awaitTurn(std::size_t bytes)
{
    return order_.isFirst(number_) ? kj::Promise<void>(kj::READY_NOW)
                                   : order_.whenFirst(number_, bytes);
}

kj::Promise<void> ServerExchange::writeWhole(const ResponseHead &head, const std::string &body)
{
    hasResponseBegun_ = true;
    order_.beginFirstResponse();
    std::string text = head_.method == "HEAD"
                               ? serializeHeadWithoutBody(head, keepsConnection())
                               : serializeHead(head, body.size(), keepsConnection()) + body;
    return writeText(std::move(text)).then([this]() { isResponseComplete_ = true; });
}

kj::Promise<void> ServerExchange::writeText(std::string text)
{
    if (text.empty())
        return kj::READY_NOW;
    auto buffer = kj::heap<std::string>(std::move(text));
    auto held = order_.hold(buffer->size());
    auto written = writeFrom(*buffer, 0);
    return written.attach(kj::mv(buffer), std::move(held));
}

kj::Promise<void> ServerExchange::writeFrom(const std::string &text, std::size_t begin)
{
    const std::size_t size = std::min(partBytes, text.size() - begin);
    const std::size_t end = begin + size;
    auto written = stream_.write(kj::arrayPtr(text.data() + begin, size));
    return written.then([this, &text, end]() -> kj::Promise<void> {
        order_.handleProgress();
        return end == text.size() ? kj::Promise<void>(kj::READY_NOW) : writeFrom(text, end);
    });
}

} // namespace boragetrack::transport::http
