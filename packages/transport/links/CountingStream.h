/** A stream that counts its bytes. */
#pragma once

#include "core/counters/Counter.h"

#include <kj/async-io.h>

namespace boragetrack::transport::links {

/** Passes everything on to another stream and counts the bytes of both directions. */
class CountingStream final : public kj::AsyncIoStream
{
public:
    CountingStream(kj::Own<kj::AsyncIoStream> stream, core::counters::Counter &sent,
                   core::counters::Counter &received)
        : stream_(kj::mv(stream))
        , sent_(sent)
        , received_(received)
    {}

    kj::Promise<size_t> tryRead(void *buffer, size_t minimum, size_t maximum) override
    {
        return stream_->tryRead(buffer, minimum, maximum).then([this](size_t length) {
            received_.add(length);
            return length;
        });
    }

    kj::Promise<void> write(const void *buffer, size_t size) override
    {
        sent_.add(size);
        return stream_->write(buffer, size);
    }

    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override
    {
        for (const auto &piece : pieces)
            sent_.add(piece.size());
        return stream_->write(pieces);
    }

    kj::Promise<void> whenWriteDisconnected() override { return stream_->whenWriteDisconnected(); }
    void shutdownWrite() override { stream_->shutdownWrite(); }
    void abortRead() override { stream_->abortRead(); }

private:
    kj::Own<kj::AsyncIoStream> stream_;
    core::counters::Counter &sent_;
    core::counters::Counter &received_;
};

} // namespace boragetrack::transport::links
