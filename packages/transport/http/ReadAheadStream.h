/** A stream whose input is read ahead. */
#pragma once

#include <kj/async-io.h>
#include <string>
#include <string_view>

namespace boragetrack::transport::http {

/**
    Reads ahead of its user into a bounded buffer, so that the end of the connection shows while
    nobody waits for input.

    A read that was begun is never cancelled: its bytes would be lost.
*/
class ReadAheadStream
{
public:
    /** Bytes that are held at most before reading pauses. */
    static constexpr std::size_t capacity = std::size_t{64} * 1024;

    explicit ReadAheadStream(kj::Own<kj::AsyncIoStream> stream)
        : stream_(kj::mv(stream))
    {}
    ReadAheadStream(const ReadAheadStream &) = delete;
    ReadAheadStream &operator=(const ReadAheadStream &) = delete;

    /** Resolves once further bytes arrived or the input ended. */
    kj::Promise<void> readMore();

    /** Resolves once the input has ended, by a plain close or a reset. Never resolves while more
        than the capacity is unread. */
    kj::Promise<void> whenEnded();

    /** Returns the bytes that were read and not consumed. */
    std::string_view bytes() const { return std::string_view(buffer_).substr(begin_); }

    /** Drops bytes from the front. */
    void consume(std::size_t count);

    /** Returns whether no further bytes will come. */
    bool isEnded() const { return isEnded_; }

    /** Returns whether the input broke off instead of being closed. */
    bool isReset() const { return isReset_; }

    /** Writes all bytes. */
    kj::Promise<void> write(kj::ArrayPtr<const char> bytes)
    {
        return stream_->write(bytes.begin(), bytes.size());
    }

    /** Tells the peer that nothing more will be written. */
    void shutdownWrite() { stream_->shutdownWrite(); }

private:
    void begin();

    kj::Own<kj::AsyncIoStream> stream_;
    std::string buffer_;
    // Invariant: buffer_ before this position was consumed.
    std::size_t begin_ = 0;
    bool isReading_ = false;
    bool isEnded_ = false;
    bool isReset_ = false;
    kj::Array<char> chunk_ = kj::heapArray<char>(std::size_t{8} * 1024);
    kj::ForkedPromise<void> reading_ = nullptr;
};

} // namespace boragetrack::transport::http
