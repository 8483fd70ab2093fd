/** Tests that each part of a message that can grow without end is bounded, whatever arrives. */
#include "transport/http/MessageReader.h"
#include "transport/http/BufferBudget.h"

#include <gtest/gtest.h>
#include <kj/async-io.h>

using namespace boragetrack::transport::http;

namespace {

constexpr std::uint32_t headerBytes = 64 * 1024;
constexpr std::uint64_t bodyBytes = std::uint64_t{1024} * 1024;

/** What became of a response that was followed by the same bytes without end. */
struct Reading
{
    bool hasFailed = false;
    std::string failure;
    std::size_t bytesTaken = 0;
};

/** Supplies some bytes and then a filler without end. */
class EndlessStream final : public kj::AsyncIoStream
{
public:
    EndlessStream(std::string begin, std::string filler, std::size_t &taken)
        : pending_(std::move(begin))
        , filler_(std::move(filler))
        , taken_(taken)
    {}

    kj::Promise<size_t> tryRead(void *buffer, size_t /*minimum*/, size_t maximum) override
    {
        while (pending_.size() < maximum)
            pending_ += filler_;
        std::copy_n(pending_.begin(), maximum, static_cast<char *>(buffer));
        pending_.erase(0, maximum);
        taken_ += maximum;
        // As from a network, bytes arrive in a later turn of the event loop.
        return kj::evalLater([maximum]() -> size_t { return maximum; });
    }
    kj::Promise<void> write(const void * /*buffer*/, size_t /*size*/) override
    {
        return kj::READY_NOW;
    }
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> /*pieces*/) override
    {
        return kj::READY_NOW;
    }
    kj::Promise<void> whenWriteDisconnected() override { return kj::NEVER_DONE; }
    void shutdownWrite() override {}

private:
    std::string pending_;
    std::string filler_;
    std::size_t &taken_;
};

/** Reads a response, at most one mebibyte of its body, from a stream that never ends. */
Reading readEndless(const std::string &begin, const std::string &filler)
{
    kj::EventLoop loop;
    kj::WaitScope scope(loop);
    Reading reading;
    ReadAheadStream stream(kj::heap<EndlessStream>(begin, filler, reading.bytesTaken));
    MessageReader<ResponseHead> reader(stream, MessageLimits{headerBytes, bodyBytes});
    auto head = reader.readHead().wait(scope);
    if (const auto *fault = std::get_if<MessageFault>(&head)) {
        reading.hasFailed = true;
        reading.failure = fault->reason;
        return reading;
    }
    reader.readBodyUpTo(bodyBytes)
            .then([&](BodyPiece &&body) { reading.hasFailed = !body.isLast; },
                  [&](kj::Exception &&exception) {
                      reading.hasFailed = true;
                      reading.failure = exception.getDescription().cStr();
                  })
            .wait(scope);
    return reading;
}

constexpr const char *chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
// One read of the stream beyond a limit.
constexpr std::size_t readBytes = std::size_t{8} * 1024;

} // namespace

TEST(MessageReader, endsAStatusLineWithoutEnd)
{
    const Reading reading = readEndless("HTTP/1.1 200 O", "K");
    EXPECT_TRUE(reading.hasFailed);
    EXPECT_LE(reading.bytesTaken, headerBytes + 2 * readBytes);
}

TEST(MessageReader, endsAHeaderWithoutEnd)
{
    const Reading reading = readEndless("HTTP/1.1 200 OK\r\nX-Long: ", "x");
    EXPECT_TRUE(reading.hasFailed);
    EXPECT_LE(reading.bytesTaken, headerBytes + 2 * readBytes);
}

TEST(MessageReader, endsHeadersWithoutEnd)
{
    const Reading reading = readEndless("HTTP/1.1 200 OK\r\n", "A: b\r\n");
    EXPECT_TRUE(reading.hasFailed);
    EXPECT_LE(reading.bytesTaken, headerBytes + 2 * readBytes);
}

// The parser searches the end of the head in the bytes that it has not consumed.
TEST(MessageReader, endsHeadersWithoutEndWhereverAReadEnds)
{
    for (std::size_t length = 8; length <= 16; ++length) {
        const std::string header = "A: " + std::string(length - 5, 'b') + "\r\n";
        for (std::size_t padding = 0; padding < length; ++padding) {
            const Reading reading
                    = readEndless("HTTP/1.1 200 OK" + std::string(padding, 'K') + "\r\n", header);
            EXPECT_TRUE(reading.hasFailed);
            EXPECT_LE(reading.bytesTaken, 2 * (headerBytes + readBytes));
        }
    }
}

TEST(MessageReader, endsBytesThatAreNoMessage)
{
    const Reading reading = readEndless("", "?");
    EXPECT_TRUE(reading.hasFailed);
    EXPECT_LE(reading.bytesTaken, headerBytes + 2 * readBytes);
}

TEST(MessageReader, endsInterimResponsesWithoutEnd)
{
    const Reading reading = readEndless("", "HTTP/1.1 103 Early Hints\r\n\r\n");
    EXPECT_TRUE(reading.hasFailed);
    EXPECT_LE(reading.bytesTaken, headerBytes + 2 * readBytes);
}

TEST(MessageReader, passesOverInterimResponses)
{
    kj::EventLoop loop;
    kj::WaitScope scope(loop);
    std::size_t taken = 0;
    const std::string interim
            = "HTTP/1.1 103 Early Hints\r\nX-Hint: h\r\nContent-Length: 9\r\n\r\n";
    const std::string final = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
    ReadAheadStream stream(
            kj::heap<EndlessStream>("HTTP/1.1 100 Continue\r\n\r\n" + interim + final, "!", taken));
    MessageReader<ResponseHead> reader(stream, MessageLimits{headerBytes, bodyBytes});
    const auto head = reader.readHead().wait(scope);
    ASSERT_TRUE(std::holds_alternative<ResponseHead>(head));
    EXPECT_EQ(std::get<ResponseHead>(head).status, 200);
    EXPECT_EQ(std::get<ResponseHead>(head).headers.size(), 1);
    EXPECT_EQ(reader.readBodyUpTo(bodyBytes).wait(scope).bytes, "hello");
}

TEST(MessageReader, endsAtAnUnrequestedChangeOfProtocol)
{
    EXPECT_TRUE(readEndless("HTTP/1.1 101 Switching Protocols\r\n\r\n", "x").hasFailed);
}

TEST(MessageReader, endsAChunkExtensionWithoutEnd)
{
    const Reading reading = readEndless(std::string(chunked) + "5;", "x");
    EXPECT_TRUE(reading.hasFailed);
    EXPECT_LE(reading.bytesTaken, maximumChunkHeaderBytes + 2 * readBytes);
}

TEST(MessageReader, endsAChunkSizeWithoutEnd)
{
    const Reading reading = readEndless(chunked, "0");
    EXPECT_TRUE(reading.hasFailed);
    EXPECT_LE(reading.bytesTaken, maximumChunkHeaderBytes + 2 * readBytes);
}

TEST(MessageReader, endsATrailerWithoutEnd)
{
    for (const char *filler : {"x", "A: b\r\n"}) {
        const Reading reading = readEndless(std::string(chunked) + "0\r\nX-Trailer: ", filler);
        EXPECT_TRUE(reading.hasFailed) << filler;
        EXPECT_LE(reading.bytesTaken, maximumChunkHeaderBytes + 2 * readBytes) << filler;
    }
}

// The framing of very small chunks may not exceed a multiple of what they carry.
TEST(MessageReader, endsChunksWithLongExtensionsWithoutEnd)
{
    const std::string chunk = "1;" + std::string(1000, 'x') + "\r\ny\r\n";
    const Reading reading = readEndless(chunked, chunk);
    EXPECT_TRUE(reading.hasFailed);
    EXPECT_LE(reading.bytesTaken, headerBytes + maximumFramingBytes + 2 * readBytes);
}

TEST(MessageReader, endsABodyWithoutEnd)
{
    EXPECT_TRUE(readEndless("HTTP/1.1 200 OK\r\n\r\n", "x").hasFailed);
    EXPECT_TRUE(readEndless("HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", "x").hasFailed);
    EXPECT_TRUE(readEndless(chunked, "4\r\nabcd\r\n").hasFailed);
}

// The number of bodies that are read at a time is not bounded, so their sum is.
TEST(MessageReader, endsABodyThatExceedsTheBufferBudget)
{
    kj::EventLoop loop;
    kj::WaitScope scope(loop);
    std::size_t taken = 0;
    BufferBudget budget(std::size_t{100} * 1024);
    BufferBudget::Share others(budget);
    ASSERT_TRUE(others.resize(std::size_t{80} * 1024));
    ReadAheadStream stream(kj::heap<EndlessStream>("HTTP/1.1 200 OK\r\n\r\n", "x", taken));
    MessageReader<ResponseHead> reader(stream, MessageLimits{headerBytes, bodyBytes}, &budget);
    reader.readHead().wait(scope);
    EXPECT_THROW(reader.readBodyUpTo(bodyBytes).wait(scope), kj::Exception);
    EXPECT_LE(taken, std::size_t{30} * 1024);
    EXPECT_EQ(budget.used(), std::size_t{80} * 1024) << "a body that has failed is not kept";
}

TEST(MessageReader, endsLargeInterimResponsesWithoutEnd)
{
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: ";
    for (const std::size_t padding : {std::size_t{1}, std::size_t{1000}, std::size_t{60'000}}) {
        const Reading reading = readEndless("", interim + std::string(padding, 'x') + "\r\n\r\n");
        EXPECT_TRUE(reading.hasFailed) << padding;
        EXPECT_LE(reading.bytesTaken, 2 * (headerBytes + readBytes)) << padding;
    }
}

TEST(MessageReader, readsChunksWithExtensionsAndTrailers)
{
    kj::EventLoop loop;
    kj::WaitScope scope(loop);
    std::size_t taken = 0;
    const std::string response
            = std::string(chunked) + "5;name=value\r\nhello\r\n0\r\nX-Trailer: t\r\n\r\n";
    ReadAheadStream stream(kj::heap<EndlessStream>(response, "!", taken));
    MessageReader<ResponseHead> reader(stream, MessageLimits{headerBytes, bodyBytes});
    const auto head = reader.readHead().wait(scope);
    const BodyPiece body = reader.readBodyUpTo(bodyBytes).wait(scope);
    EXPECT_TRUE(body.isLast);
    EXPECT_EQ(body.bytes, "hello");
    EXPECT_EQ(findHeader(std::get<ResponseHead>(head).headers, "X-Trailer"), nullptr);
}
