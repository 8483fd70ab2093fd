/** Implements ReadAheadStream. */
#include "transport/http/ReadAheadStream.h"

namespace boragetrack::transport::http {

kj::Promise<void> ReadAheadStream::readMore()
{
    if (isEnded_)
        return kj::READY_NOW;
    if (!isReading_)
        begin();
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

void ReadAheadStream::begin()
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
                                   // A reset says no more than that the input is over.
                                   isReading_ = false;
                                   isEnded_ = true;
                                   isReset_ = true;
                               })
                       .fork();
}

} // namespace boragetrack::transport::http
