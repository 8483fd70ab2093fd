/** Keeps at most one read pending and shares its completion among all that wait for it. The system
    reports a reset of the connection once, to a read or to a write. If a write gets it, the next
    read ends as after a close by the peer, possibly before the failure of the write is known here.
    Such an end therefore counts as a close only if every write has succeeded, or if the state of
    the connection shows that the peer has closed it. */
#include "transport/http/ReadAheadStream.h"

#include <kj/exception.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace boragetrack::transport::http {

kj::Promise<void> ReadAheadStream::readMore()
{
    if (isEnded_)
        return kj::READY_NOW;
    if (!isReading_)
        beginRead();
    return reading_.addBranch();
}

kj::Promise<void> ReadAheadStream::whenEnded()
{
    if (isEnded_)
        return kj::READY_NOW;
    if (bytes().size() >= capacity)
        return kj::NEVER_DONE;
    return readMore().then([this]() { return whenEnded(); });
}

void ReadAheadStream::consume(std::size_t count)
{
    begin_ += count;
    if (begin_ < buffer_.size())
        return;
    buffer_.clear();
    begin_ = 0;
}

void ReadAheadStream::shutdownWrite()
{
    KJ_IF_MAYBE (exception, kj::runCatchingExceptions([this]() { stream_->shutdownWrite(); })) {
        // A reset ends the input too, so the owner notices it.
        if (exception->getType() != kj::Exception::Type::DISCONNECTED)
            kj::throwFatalException(kj::mv(*exception));
    }
}

kj::Promise<void> ReadAheadStream::write(kj::ArrayPtr<const char> bytes)
{
    ++unsuccessfulWrites_;
    return kj::evalNow([&]() { return stream_->write(bytes.begin(), bytes.size()); })
            .then([this]() { --unsuccessfulWrites_; });
}

void ReadAheadStream::beginRead()
{
    isReading_ = true;
    if (begin_ > 0) {
        buffer_.erase(0, begin_);
        begin_ = 0;
    }
    // The stream throws a failure that the system reports at once.
    reading_ = kj::evalNow([this]() { return stream_->tryRead(chunk_.begin(), 1, chunk_.size()); })
                       .then(
                               [this](std::size_t length) {
                                   isReading_ = false;
                                   buffer_.append(chunk_.begin(), length);
                                   if (length == 0)
                                       handleEnd();
                               },
                               [this](kj::Exception && /*exception*/) {
                                   // Any error ends the input; isReset() distinguishes it from a
                                   // close.
                                   isReading_ = false;
                                   isEnded_ = true;
                                   isReset_ = true;
                               })
                       .fork();
}

void ReadAheadStream::handleEnd()
{
    isEnded_ = true;
    isReset_ = unsuccessfulWrites_ > 0 && !isClosedByPeer();
}

// Returns whether the peer has closed its side of the connection and has not reset it since; false
// if the stream can't tell.
bool ReadAheadStream::isClosedByPeer()
{
    tcp_info info{};
    kj::uint size = sizeof(info);
    const auto failure = kj::runCatchingExceptions(
            [&]() { stream_->getsockopt(IPPROTO_TCP, TCP_INFO, &info, &size); });
    return failure == nullptr && info.tcpi_state == TCP_CLOSE_WAIT;
}

} // namespace boragetrack::transport::http
