/** Buffered input of a connection. */
#pragma once

#include <kj/async-io.h>
#include <string>
#include <string_view>

namespace boragetrack::transport::http {

/**
    Reads ahead of its consumer into a bounded buffer, so that the end of a connection is noticed
    while its input is not consumed.

    A pending read is never cancelled, since its bytes would be lost.
*/
class ReadAheadStream
{
public:
    /** Number of buffered bytes at which whenEnded() stops reading. */
    static constexpr std::size_t capacity = std::size_t{64} * 1024;

    explicit ReadAheadStream(kj::Own<kj::AsyncIoStream> stream)
        : stream_(kj::mv(stream))
    {}
    ReadAheadStream(const ReadAheadStream &) = delete;
    ReadAheadStream &operator=(const ReadAheadStream &) = delete;

    /** Resolves once further bytes have arrived or the input has ended; never rejects. */
    kj::Promise<void> readMore();

    /** Resolves once the input has ended, by a close or a reset. Never resolves if the unconsumed
        bytes reach the capacity. */
    kj::Promise<void> whenEnded();

    /** Returns the bytes that have been read and not yet consumed. */
    std::string_view bytes() const { return std::string_view(buffer_).substr(begin_); }

    /** Removes bytes from the front of the buffer. @param count at most the size of bytes() */
    void consume(std::size_t count);

    /** Returns whether the input has ended. */
    bool isEnded() const { return isEnded_; }

    /** Returns whether the input has ended because the connection failed, in contrast to a close by
        the peer. What was received is then incomplete unless it tells where it ends. */
    bool isReset() const { return isReset_; }

    /** Returns whether bytes wait to be written, or failed to be. */
    bool isWriting() const { return unsuccessfulWrites_ > 0; }

    /** Writes all bytes; rejects if the connection fails. The stream must outlive the promise. */
    kj::Promise<void> write(kj::ArrayPtr<const char> bytes);

    /** Signals the end of the output to the peer; has no effect once the peer has reset the
        connection. */
    void shutdownWrite();

private:
    void beginRead();
    void handleEnd();
    bool isClosedByPeer();

    kj::Own<kj::AsyncIoStream> stream_;
    std::string buffer_;
    // Invariant: the bytes of buffer_ before this position have been consumed.
    std::size_t begin_ = 0;
    bool isReading_ = false;
    bool isEnded_ = false;
    // Invariant: decided when the input ends; a write that fails later doesn't change it.
    bool isReset_ = false;
    // The writes that are pending, have failed or were cancelled.
    int unsuccessfulWrites_ = 0;
    kj::Array<char> chunk_ = kj::heapArray<char>(std::size_t{8} * 1024);
    kj::ForkedPromise<void> reading_ = nullptr;
};

} // namespace boragetrack::transport::http
