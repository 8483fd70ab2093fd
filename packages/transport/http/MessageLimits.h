/** What a peer may send in one message. */
#pragma once

#include <cstdint>

namespace boragetrack::transport::http {

/** Bounds the size of a message. */
struct MessageLimits
{
    /** Start line and headers together, in bytes. */
    std::uint32_t headerBytes = 16 * 1024;
    /** The body without its encoding, in bytes. */
    std::uint64_t bodyBytes = std::uint64_t{64} * 1024 * 1024;
};

} // namespace boragetrack::transport::http
