/** Notices when the messages of a link are written. */
#pragma once

#include "transport/links/LinkOutput.h"

#include <kj/async-io.h>

namespace boragetrack::transport::links {

/** Forwards to another stream and tells a LinkOutput which writes are complete. */
class OutputStream final : public kj::AsyncIoStream
{
public:
    /** @param output outlives the stream */
    OutputStream(kj::Own<kj::AsyncIoStream> stream, LinkOutput &output)
        : stream_(kj::mv(stream))
        , output_(output)
    {}

    kj::Promise<size_t> tryRead(void *buffer, size_t minimum, size_t maximum) override
    {
        return stream_->tryRead(buffer, minimum, maximum);
    }

    kj::Promise<void> write(const void *buffer, size_t size) override
    {
        return stream_->write(buffer, size).then([this, size]() { output_.handleWritten(size); });
    }

    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override
    {
        std::size_t size = 0;
        for (const auto &piece : pieces)
            size += piece.size();
        return stream_->write(pieces).then([this, size]() { output_.handleWritten(size); });
    }

    kj::Promise<void> whenWriteDisconnected() override { return stream_->whenWriteDisconnected(); }
    void shutdownWrite() override { stream_->shutdownWrite(); }
    void abortRead() override { stream_->abortRead(); }

private:
    kj::Own<kj::AsyncIoStream> stream_;
    LinkOutput &output_;
};

} // namespace boragetrack::transport::links
