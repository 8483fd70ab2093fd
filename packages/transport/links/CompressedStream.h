/** A stream that compresses what it carries. */
#pragma once

#include <kj/async-io.h>
#include <zlib.h>

namespace boragetrack::transport::links {

/**
    Compresses and expands a stream with zlib, message by message.

    Used between data centres, where bytes are dear: calls repeat the same headers, and what was
   sent before serves as the dictionary of what follows. Windows are small, since a node has a link
   to many others.
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
    // Log2 of the window in bytes, and zlib's measure of the memory for its search.
    static constexpr int windowBits = 13;
    static constexpr int memoryLevel = 5;
    static constexpr std::size_t inputBytes = std::size_t{8} * 1024;

    kj::Promise<size_t> readMore(kj::byte *buffer, size_t minimum, size_t maximum, size_t done);
    // Expands held input into a buffer. @returns the bytes produced
    size_t expand(kj::byte *buffer, size_t maximum);

    kj::Own<kj::AsyncIoStream> stream_;
    z_stream deflate_{};
    z_stream inflate_{};
    kj::Array<kj::byte> input_ = kj::heapArray<kj::byte>(inputBytes);
};

} // namespace boragetrack::transport::links
