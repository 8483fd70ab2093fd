/** Selection of compression for a link. */
#pragma once

#include "transport/links/LinkCounters.h"

#include <kj/async-io.h>

namespace boragetrack::transport::links {

/** The encoding of a link's bytes; the side that opens the link sends it as the first byte. */
enum class LinkEncoding : kj::byte { Plain = 0, Compressed = 1 };

/** Sends the encoding of a newly opened link to the other side.
    @returns the stream with the encoding applied */
kj::Promise<kj::Own<kj::AsyncIoStream>> negotiateOpened(kj::Own<kj::AsyncIoStream> stream,
                                                        LinkEncoding encoding,
                                                        const LinkCounters &counters);

/** Receives the encoding of a newly accepted link from the other side.
    @returns the stream with the encoding applied, or nothing if the other side closed the link
             before it sent one; rejects with FAILED if the encoding is unknown */
kj::Promise<kj::Maybe<kj::Own<kj::AsyncIoStream>>>
negotiateAccepted(kj::Own<kj::AsyncIoStream> stream, const LinkCounters &counters);

} // namespace boragetrack::transport::links
