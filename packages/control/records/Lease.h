/** A lease of the store. */
#pragma once

#include <chrono>
#include <cstdint>

namespace boragetrack::control::records {

/** Names a lease; keys written under it are removed when it ends. */
struct Lease
{
    /** Zero for no lease. */
    std::uint64_t id = 0;
    /** How long it lasts after each renewal. */
    std::chrono::milliseconds timeToLive{0};
};

} // namespace boragetrack::control::records
