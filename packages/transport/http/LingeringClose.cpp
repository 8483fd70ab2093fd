/** Bounds the input that is discarded, by its size and by time. */
#include "transport/http/LingeringClose.h"

namespace boragetrack::transport::http {

namespace {

constexpr std::size_t maximumDiscardedBytes = std::size_t{256} * 1024;
constexpr kj::Duration discardTime = 500 * kj::MILLISECONDS;

} // namespace

kj::Promise<void> LingeringClose::run()
{
    if (stream_.isEnded())
        return kj::READY_NOW;
    stream_.shutdownWrite();
    return discardInput(stream_, maximumDiscardedBytes)
            .exclusiveJoin(timer_.afterDelay(discardTime));
}

kj::Promise<void> LingeringClose::discardInput(ReadAheadStream &stream, std::size_t limit)
{
    const std::size_t buffered = stream.bytes().size();
    stream.consume(buffered);
    if (stream.isEnded() || buffered >= limit)
        return kj::READY_NOW;
    return stream.readMore().then(
            [&stream, limit, buffered]() { return discardInput(stream, limit - buffered); });
}

} // namespace boragetrack::transport::http
