/** Uses raw deflate and flushes at the end of each write, so that the peer can decompress a message
    without waiting for the next. */
#include "transport/links/CompressedStream.h"

#include <kj/debug.h>
#include <vector>

namespace boragetrack::transport::links {

namespace {
constexpr std::size_t outputStep = std::size_t{2} * 1024;
} // namespace

CompressedStream::CompressedStream(kj::Own<kj::AsyncIoStream> stream)
    : stream_(kj::mv(stream))
{
    // The fastest level suffices: headers repeat exactly, and most bodies are not compressible.
    KJ_ASSERT(deflateInit2(&deflate_, Z_BEST_SPEED, Z_DEFLATED, -compressorWindowBits, memoryLevel,
                           Z_DEFAULT_STRATEGY)
              == Z_OK);
    KJ_ASSERT(inflateInit2(&inflate_, -decompressorWindowBits) == Z_OK);
}

CompressedStream::~CompressedStream() noexcept
{
    deflateEnd(&deflate_);
    inflateEnd(&inflate_);
}

kj::Promise<size_t> CompressedStream::tryRead(void *buffer, size_t minimum, size_t maximum)
{
    return readMore(static_cast<kj::byte *>(buffer), minimum, maximum, 0);
}

kj::Promise<size_t> CompressedStream::readMore(kj::byte *buffer, size_t minimum, size_t maximum,
                                               size_t done)
{
    done += decompress(buffer + done, maximum - done);
    if (done >= minimum)
        return done;
    return stream_->tryRead(input_.begin(), 1, input_.size())
            .then([this, buffer, minimum, maximum, done](size_t length) -> kj::Promise<size_t> {
                if (length == 0)
                    return done;
                inflate_.next_in = input_.begin();
                inflate_.avail_in = static_cast<uInt>(length);
                return readMore(buffer, minimum, maximum, done);
            });
}

size_t CompressedStream::decompress(kj::byte *buffer, size_t maximum)
{
    if (maximum == 0)
        return 0;
    inflate_.next_out = buffer;
    inflate_.avail_out = static_cast<uInt>(maximum);
    // zlib may still hold output that did not fit into the previous buffer, so inflate() is called
    // even without input.
    const int result = inflate(&inflate_, Z_SYNC_FLUSH);
    KJ_REQUIRE(result == Z_OK || result == Z_BUF_ERROR, "corrupt data on a compressed link");
    return maximum - inflate_.avail_out;
}

kj::Promise<void> CompressedStream::write(const void *buffer, size_t size)
{
    const kj::ArrayPtr<const kj::byte> piece(static_cast<const kj::byte *>(buffer), size);
    return write(kj::arrayPtr(&piece, 1));
}

kj::Promise<void> CompressedStream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces)
{
    auto output = kj::heap<std::vector<kj::byte>>();
    for (std::size_t i = 0; i < pieces.size(); ++i) {
        deflate_.next_in = const_cast<kj::byte *>(pieces[i].begin());
        deflate_.avail_in = static_cast<uInt>(pieces[i].size());
        // Flushes only at the end of the message, since each flush adds a few bytes.
        const int flush = i + 1 == pieces.size() ? Z_SYNC_FLUSH : Z_NO_FLUSH;
        do {
            const std::size_t oldSize = output->size();
            output->resize(oldSize + outputStep);
            deflate_.next_out = output->data() + oldSize;
            deflate_.avail_out = outputStep;
            deflate(&deflate_, flush);
            output->resize(oldSize + outputStep - deflate_.avail_out);
        } while (deflate_.avail_out == 0);
    }
    if (output->empty())
        return kj::READY_NOW;
    auto written = stream_->write(output->data(), output->size());
    return written.attach(kj::mv(output));
}

} // namespace boragetrack::transport::links
