/** Limits on the requests that callers send. */
#pragma once

#include <chrono>
#include <cstdint>

namespace boragetrack::control::intent {

/** Limits the size of requests and the time that callers may take to send them. */
struct CallerLimits
{
    /** Size of a request's head, in bytes. */
    std::uint32_t headerBytes = 16 * 1024;
    /** Size of a request's body, in bytes. */
    std::uint64_t bodyBytes = std::uint64_t{1024} * 1024;
    /** Time from a request's first byte to the end of its head. */
    std::chrono::milliseconds headerTimeout{3000};
    /** Time that a connection may be idle between requests. */
    std::chrono::milliseconds idleTimeout{15'000};
};

} // namespace boragetrack::control::intent
