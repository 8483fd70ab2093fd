/** Stream compression for links between data centres. */
#pragma once

#include <kj/async-io.h>
#include <zlib.h>

namespace boragetrack::transport::links {

/**
    Compresses what is written and decompresses what is read with zlib, message by message.

    Used between data centres, where bandwidth is expensive. Calls repeat the same headers, and
    earlier messages serve as the dictionary for later ones. The windows are small because a node
    has links to many others.
*/
class CompressedStream final : public kj::AsyncIoStream
{
public:
    explicit CompressedStream(kj::Own<kj::AsyncIoStream> stream);
    ~CompressedStream() noexcept;
    CompressedStream(const CompressedStream &) = delete;
    CompressedStream &operator=(const CompressedStream &) = delete;

    kj::Promise<size_t> tryRead(void *buffer, size_t minimum, size_t maximum) override;
    kj::Promise<void> write(const void *buffer, size_t size) override;
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
    kj::Promise<void> whenWriteDisconnected() override { return stream_->whenWriteDisconnected(); }
    void shutdownWrite() override { stream_->shutdownWrite(); }
    void abortRead() override { stream_->abortRead(); }

private:
    // Base-2 logarithm of the window sizes in bytes. The decompressor accepts the larger window of
    // peers of earlier releases.
    static constexpr int compressorWindowBits = 12;
    static constexpr int decompressorWindowBits = 13;
    // zlib's memory level (1 to 9) for the compressor's tables.
    static constexpr int memoryLevel = 4;
    static constexpr std::size_t inputBytes = std::size_t{2} * 1024;

    kj::Promise<size_t> readMore(kj::byte *buffer, size_t minimum, size_t maximum, size_t done);
    // Decompresses buffered input into a buffer. @returns the number of bytes written to it
    size_t decompress(kj::byte *buffer, size_t maximum);

    kj::Own<kj::AsyncIoStream> stream_;
    z_stream deflate_{};
    z_stream inflate_{};
    kj::Array<kj::byte> input_ = kj::heapArray<kj::byte>(inputBytes);
};

} // namespace boragetrack::transport::links
