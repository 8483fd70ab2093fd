/** Size limits for received messages. */
#pragma once

#include <cstddef>
#include <cstdint>

namespace boragetrack::transport::http {

/** Maximum size of a chunk's header with its extensions, and of a trailer, in bytes. */
inline constexpr std::size_t maximumChunkHeaderBytes = std::size_t{8} * 1024;

/** Maximum size of all that a body contains besides its content beyond one byte for each byte of
    content: chunk headers, their extensions and trailers. */
inline constexpr std::size_t maximumFramingBytes = std::size_t{64} * 1024;

/** Maximum number of interim responses before a final one. Their heads together are limited in size
    like one head. */
inline constexpr int maximumInterimResponses = 32;

/** Limits the head and the body of one message. */
struct MessageLimits
{
    /** Start line and headers together, in bytes. */
    std::uint32_t headerBytes = 16 * 1024;
    /** Body without its transfer encoding, in bytes. */
    std::uint64_t bodyBytes = std::uint64_t{64} * 1024 * 1024;
};

} // namespace boragetrack::transport::http
