/** Size limits for received messages. */
#pragma once

#include <cstdint>

namespace boragetrack::transport::http {

/** Limits the head and the body of one message. */
struct MessageLimits
{
    /** Start line and headers together, in bytes. */
    std::uint32_t headerBytes = 16 * 1024;
    /** Body without its transfer encoding, in bytes. */
    std::uint64_t bodyBytes = std::uint64_t{64} * 1024 * 1024;
};

} // namespace boragetrack::transport::http
