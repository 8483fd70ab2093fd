/** Implements the framing of links. */
#include "transport/links/LinkEncoding.h"

#include "transport/http/KeepAlive.h"
#include "transport/links/CompressedStream.h"
#include "transport/links/CountingStream.h"

#include <kj/debug.h>

namespace boragetrack::transport::links {

namespace {

kj::Own<kj::AsyncIoStream> framed(kj::Own<kj::AsyncIoStream> counted, LinkEncoding framing)
{
    if (framing == LinkEncoding::Plain)
        return counted;
    return kj::heap<CompressedStream>(kj::mv(counted));
}

kj::Own<CountingStream> counted(kj::Own<kj::AsyncIoStream> stream, const LinkCounters &counters)
{
    http::enableKeepAlive(*stream);
    return kj::heap<CountingStream>(kj::mv(stream), counters.linkBytesSent,
                                    counters.linkBytesReceived);
}

} // namespace

kj::Promise<kj::Own<kj::AsyncIoStream>>
encodeOpened(kj::Own<kj::AsyncIoStream> stream, LinkEncoding framing, const LinkCounters &counters)
{
    kj::Own<kj::AsyncIoStream> plain = counted(kj::mv(stream), counters);
    auto first = kj::heap<kj::byte>(static_cast<kj::byte>(framing));
    auto written = plain->write(first.get(), 1).attach(kj::mv(first));
    return written.then(
            [plain = kj::mv(plain), framing]() mutable { return framed(kj::mv(plain), framing); });
}

kj::Promise<kj::Own<kj::AsyncIoStream>> decodeAccepted(kj::Own<kj::AsyncIoStream> stream,
                                                       const LinkCounters &counters)
{
    kj::Own<kj::AsyncIoStream> plain = counted(kj::mv(stream), counters);
    auto first = kj::heap<kj::byte>(kj::byte{0});
    auto read = plain->tryRead(first.get(), 1, 1);
    return read.then([plain = kj::mv(plain), first = kj::mv(first)](size_t length) mutable {
        const auto last = static_cast<kj::byte>(LinkEncoding::Compressed);
        if (length != 1 || *first > last)
            kj::throwFatalException(KJ_EXCEPTION(DISCONNECTED, "unknown framing of a link"));
        return framed(kj::mv(plain), static_cast<LinkEncoding>(*first));
    });
}

} // namespace boragetrack::transport::links
