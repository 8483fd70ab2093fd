/** How the bytes of a link are framed. */
#pragma once

#include "transport/links/LinkCounters.h"

#include <kj/async-io.h>

namespace boragetrack::transport::links {

/** The first byte of each link, sent by the side that opened it. */
enum class LinkEncoding : kj::byte { Plain = 0, Compressed = 1 };

/** Tells the other side how a link that was just opened is framed, and returns it so framed. */
kj::Promise<kj::Own<kj::AsyncIoStream>>
encodeOpened(kj::Own<kj::AsyncIoStream> stream, LinkEncoding framing, const LinkCounters &counters);

/** Reads how a link that was just accepted is framed, and returns it so framed. */
kj::Promise<kj::Own<kj::AsyncIoStream>> decodeAccepted(kj::Own<kj::AsyncIoStream> stream,
                                                       const LinkCounters &counters);

} // namespace boragetrack::transport::links
