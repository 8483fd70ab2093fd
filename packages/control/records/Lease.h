/** A lease of the platform's store. */
#pragma once

#include <chrono>
#include <cstdint>

namespace boragetrack::control::records {

/** Identifies a lease; keys written under it are removed when it expires. */
struct Lease
{
    /** Zero for no lease. */
    std::uint64_t id = 0;
    /** The lifetime after each renewal. */
    std::chrono::milliseconds timeToLive{0};
};

} // namespace boragetrack::control::records
