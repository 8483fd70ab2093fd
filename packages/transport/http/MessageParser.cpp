/** Beast's parser continues a partial element in a way that depends on where it was cut, and
    asserts that it is never called without progress. So it gets the head as a whole, each try with
    a new parser, and no element again before further bytes have arrived. */
#include "transport/http/MessageParser.h"

#include "core/assertions/AssertionFailure.h"
#include "transport/http/BeastParser.h"

#include <boost/asio/buffer.hpp>
#include <cctype>

namespace boragetrack::transport::http {

namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

namespace {

constexpr int badRequest = 400;
constexpr int payloadTooLarge = 413;
constexpr int headersTooLarge = 431;

// The shortest end of a chunked body is "0\r\n\r\n". Beast 1.74 asserts that it has as many bytes
// when it continues the last chunk.
constexpr std::size_t shortestChunkedEnd = 5;

// Beyond this size, a head without a new line end is parsed again only after it has grown by a
// fraction, which keeps the cost of one that arrives byte by byte in proportion to its size.
constexpr std::size_t smallHeadBytes = 1024;
constexpr std::size_t headGrowthDivisor = 16;

MessageFault faultOf(const beast::error_code &error)
{
    if (error == bhttp::error::header_limit)
        return {headersTooLarge, error.message()};
    return {error == bhttp::error::body_limit ? payloadTooLarge : badRequest, error.message()};
}

// Returns the header line of the next chunk, or all bytes while the line is incomplete or if it is
// that of the last chunk, behind which the trailer ends. Beast reads a quoted extension across the
// end of the line, and deducts the chunk from the limit of the body each time that it tries.
std::string_view chunkHeaderIn(std::string_view bytes, bool followsChunk)
{
    constexpr std::string_view lineEnd = "\r\n";
    const std::size_t begin = followsChunk ? lineEnd.size() : 0;
    const std::size_t end = bytes.find(lineEnd, begin);
    if (end == std::string_view::npos)
        return bytes;
    const std::size_t afterZeros = bytes.find_first_not_of('0', begin);
    const bool isLast = afterZeros != begin && afterZeros != std::string_view::npos
                        && std::isxdigit(static_cast<unsigned char>(bytes[afterZeros])) == 0;
    return isLast ? bytes : bytes.substr(0, end + lineEnd.size());
}

// Calls the library such that an assertion that the input reaches becomes a fault of the input.
template <typename Call>
std::optional<MessageFault> faultIn(Call call)
{
    beast::error_code error;
    try {
        call(error);
    } catch (const core::assertions::AssertionFailure &failure) {
        return MessageFault{badRequest, failure.what()};
    }
    if (!error || error == bhttp::error::need_more)
        return std::nullopt;
    return faultOf(error);
}

} // namespace

template <typename Head>
MessageParser<Head>::MessageParser(const MessageLimits &limits)
    : limits_(limits)
{}

template <typename Head>
MessageParser<Head>::~MessageParser() = default;

template <typename Head>
std::size_t MessageParser<Head>::put(std::string_view bytes)
{
    std::size_t consumed = 0;
    while (consumed < bytes.size() && !isDone() && !fault_) {
        hasBegun_ = true;
        const std::string_view rest = bytes.substr(consumed);
        if (!mayComplete(rest))
            break;
        const std::size_t taken = isHeadDone() ? putBody(rest) : putHead(rest);
        seenBytes_ = taken == 0 ? rest.size() : 0;
        consumed += taken;
    }
    return consumed;
}

// Returns whether the bytes may complete the next element although fewer did not.
template <typename Head>
bool MessageParser<Head>::mayComplete(std::string_view rest) const
{
    if (rest.size() <= seenBytes_)
        return false;
    if (isHeadDone())
        return !parser_->isAtChunkHeader() || rest.size() >= shortestChunkedEnd;
    const bool hasGrown = rest.size() < smallHeadBytes || rest.size() > limits_.headerBytes
                          || rest.size() >= seenBytes_ + seenBytes_ / headGrowthDivisor;
    return hasGrown || rest.find('\n', seenBytes_) != std::string_view::npos;
}

template <typename Head>
std::size_t MessageParser<Head>::putHead(std::string_view rest)
{
    auto parser = std::make_unique<BeastParser<Head>>(limits_, hasBody_);
    std::size_t taken = 0;
    fault_ = faultIn([&](beast::error_code &error) {
        taken = parser->put(boost::asio::const_buffer(rest.data(), rest.size()), error);
    });
    if (fault_ || !parser->is_header_done())
        return 0;
    parser_ = std::move(parser);
    return taken;
}

template <typename Head>
std::size_t MessageParser<Head>::putBody(std::string_view rest)
{
    const bool isFraming = parser_->isAtChunkHeader();
    const std::string_view element = isFraming ? chunkHeaderIn(rest, parser_->hasChunk()) : rest;
    std::size_t taken = 0;
    fault_ = faultIn([&](beast::error_code &error) {
        taken = parser_->put(boost::asio::const_buffer(element.data(), element.size()), error);
    });
    if (isFraming && !fault_) {
        framingBytes_ += taken;
        checkFraming(taken == 0 ? rest.size() : taken);
    }
    if (taken == 0 && element.size() < rest.size() && !fault_)
        fault_ = faultOf(bhttp::make_error_code(bhttp::error::bad_chunk_extension));
    return taken;
}

// Chunk headers and the trailer are consumed only when they are complete. An endless one stays in
// the buffer, while short ones are consumed one after the other.
template <typename Head>
void MessageParser<Head>::checkFraming(std::size_t elementBytes)
{
    if (elementBytes > maximumChunkHeaderBytes
        || framingBytes_ > maximumFramingBytes + parser_->contentBytes())
        fault_ = MessageFault{badRequest, "too many bytes besides content"};
}

template <typename Head>
void MessageParser<Head>::putEnd()
{
    if (isDone() || fault_)
        return;
    if (!isHeadDone())
        fault_ = faultOf(bhttp::make_error_code(bhttp::error::partial_message));
    else
        fault_ = faultIn([this](beast::error_code &error) { parser_->put_eof(error); });
}

template <typename Head>
bool MessageParser<Head>::isDone() const
{
    return parser_ != nullptr && parser_->is_done();
}

template <typename Head>
bool MessageParser<Head>::keepsConnection() const
{
    return parser_ != nullptr && !fault_ && parser_->keep_alive();
}

template <typename Head>
const Head &MessageParser<Head>::head() const
{
    return parser_->head();
}

template <typename Head>
std::optional<std::uint64_t> MessageParser<Head>::bodyLength() const
{
    if (parser_ == nullptr)
        return std::nullopt;
    const auto length = parser_->content_length();
    return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

template <typename Head>
std::string MessageParser<Head>::takeBody()
{
    return parser_ == nullptr ? std::string() : parser_->takeBody();
}

template class MessageParser<RequestHead>;
template class MessageParser<ResponseHead>;

} // namespace boragetrack::transport::http
