/** What callers may send. */
#pragma once

#include <chrono>
#include <cstdint>

namespace boragetrack::control::intent {

/** Bounds the requests of callers and the time that they take over them. */
struct CallerLimits
{
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = std::uint64_t{1024} * 1024;
    /** From a request's first byte to the end of its head. */
    std::chrono::milliseconds headerTimeout{3000};
    /** How long a connection may stay idle between requests. */
    std::chrono::milliseconds idleTimeout{15'000};
};

} // namespace boragetrack::control::intent
