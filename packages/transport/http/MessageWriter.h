/** Serialization of HTTP/1.1 messages. */
#pragma once

#include "transport/http/RequestHead.h"
#include "transport/http/ResponseHead.h"

#include <cstdint>
#include <optional>
#include <string>

namespace boragetrack::transport::http {

/** Returns the start line and headers of a request as text.
    @param bodyLength in bytes; empty for a chunked body. Zero adds a Content-Length only if the
    method usually has a body */
std::string serializeHead(const RequestHead &head, std::optional<std::uint64_t> bodyLength);

/** Returns the status line and headers of a response as text.
    @param bodyLength in bytes; empty for a chunked body
    @param keepsConnection whether another response may follow on the connection */
std::string serializeHead(const ResponseHead &head, std::optional<std::uint64_t> bodyLength,
                          bool keepsConnection);

/** Returns the status line and headers of a response to a HEAD request, which has no body. Its
    Content-Length, if there is one, is that of the response to GET.
    @param keepsConnection whether another response may follow on the connection */
std::string serializeHeadWithoutBody(const ResponseHead &head, bool keepsConnection);

/** Returns bytes as one chunk of a chunked body. Returns nothing for an empty piece, since an empty
    chunk would end the body. */
std::string encodeChunk(const std::string &bytes);

/** Ends a chunked body. */
inline constexpr const char *lastChunk = "0\r\n\r\n";

/** Returns whether a header applies to a single connection and must not be forwarded.
    @param headers of the message; its Connection header may name further hop-by-hop headers */
bool isHopByHopHeader(const std::string &name, const HeaderList &headers);

/** Returns the headers that are forwarded: all but the hop-by-hop ones. */
HeaderList endToEndHeaders(const HeaderList &headers);

} // namespace boragetrack::transport::http
