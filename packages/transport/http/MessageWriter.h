/** Writes HTTP messages as text. */
#pragma once

#include "transport/http/RequestHead.h"
#include "transport/http/ResponseHead.h"

#include <cstdint>
#include <optional>
#include <string>

namespace boragetrack::transport::http {

/** Returns the text of a request's head.
    @param bodyLength nothing for a body in chunks; zero writes a length only where the method
    usually has a body */
std::string serializeHead(const RequestHead &head, std::optional<std::uint64_t> bodyLength);

/** Returns the text of a response's head.
    @param bodyLength nothing for a body in chunks
    @param keepsConnection whether another response may follow on the connection */
std::string serializeHead(const ResponseHead &head, std::optional<std::uint64_t> bodyLength,
                          bool keepsConnection);

/** Returns a piece of a body as one chunk; empty for an empty piece. */
std::string encodeChunk(const std::string &bytes);

/** The end of a body in chunks. */
inline constexpr const char *lastChunk = "0\r\n\r\n";

/** Returns whether a header concerns one connection only and must not be forwarded.
    @param headers the message's headers, whose Connection header may name further ones */
bool isHopByHopHeader(const std::string &name, const HeaderList &headers);

/** Returns the headers that are forwarded: all but those of one connection. */
HeaderList endToEndHeaders(const HeaderList &headers);

} // namespace boragetrack::transport::http
