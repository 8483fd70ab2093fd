/** Keeps at most one read pending and shares its completion among all that wait for it. */
#include "transport/http/ReadAheadStream.h"

#include <kj/exception.h>

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
    return stream_->write(bytes.begin(), bytes.size())
            .catch_([this](kj::Exception &&exception) -> kj::Promise<void> {
                // The system reports a reset once; if a write gets it, reads see a regular close.
                isReset_ = true;
                return kj::mv(exception);
            });
}

void ReadAheadStream::beginRead()
{
    isReading_ = true;
    if (begin_ > 0) {
        buffer_.erase(0, begin_);
        begin_ = 0;
    }
    reading_ = stream_->tryRead(chunk_.begin(), 1, chunk_.size())
                       .then(
                               [this](std::size_t length) {
                                   isReading_ = false;
                                   isEnded_ = length == 0;
                                   buffer_.append(chunk_.begin(), length);
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

} // namespace boragetrack::transport::http
