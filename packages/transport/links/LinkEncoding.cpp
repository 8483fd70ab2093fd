/** Puts byte counting below the compression, so that the counters show the transmitted bytes;
    the first byte of a link is not compressed. */
#include "transport/links/LinkEncoding.h"

#include "transport/http/KeepAlive.h"
#include "transport/links/CompressedStream.h"
#include "transport/links/CountingStream.h"

#include <kj/debug.h>

namespace boragetrack::transport::links {

namespace {

kj::Own<kj::AsyncIoStream> applyEncoding(kj::Own<kj::AsyncIoStream> stream, LinkEncoding encoding)
{
    if (encoding == LinkEncoding::Plain)
        return stream;
    return kj::heap<CompressedStream>(kj::mv(stream));
}

kj::Own<CountingStream> prepareConnection(kj::Own<kj::AsyncIoStream> stream,
                                          const LinkCounters &counters)
{
    http::enableKeepAlive(*stream);
    return kj::heap<CountingStream>(kj::mv(stream), counters.linkBytesSent,
                                    counters.linkBytesReceived);
}

} // namespace

kj::Promise<kj::Own<kj::AsyncIoStream>> negotiateOpened(kj::Own<kj::AsyncIoStream> stream,
                                                        LinkEncoding encoding,
                                                        const LinkCounters &counters)
{
    kj::Own<kj::AsyncIoStream> plain = prepareConnection(kj::mv(stream), counters);
    auto first = kj::heap<kj::byte>(static_cast<kj::byte>(encoding));
    auto written = plain->write(first.get(), 1).attach(kj::mv(first));
    return written.then([plain = kj::mv(plain), encoding]() mutable {
        return applyEncoding(kj::mv(plain), encoding);
    });
}

kj::Promise<kj::Maybe<kj::Own<kj::AsyncIoStream>>>
negotiateAccepted(kj::Own<kj::AsyncIoStream> stream, const LinkCounters &counters)
{
    kj::Own<kj::AsyncIoStream> plain = prepareConnection(kj::mv(stream), counters);
    auto first = kj::heap<kj::byte>(kj::byte{0});
    auto read = plain->tryRead(first.get(), 1, 1);
    return read.then([plain = kj::mv(plain), first = kj::mv(first)](
                             size_t length) mutable -> kj::Maybe<kj::Own<kj::AsyncIoStream>> {
        if (length == 0)
            return nullptr;
        if (*first > static_cast<kj::byte>(LinkEncoding::Compressed))
            kj::throwFatalException(KJ_EXCEPTION(FAILED, "unknown link encoding"));
        return applyEncoding(kj::mv(plain), static_cast<LinkEncoding>(*first));
    });
}

} // namespace boragetrack::transport::links
