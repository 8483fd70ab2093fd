/** The version of a member's record. */
#pragma once

#include <compare>
#include <cstdint>

namespace boragetrack::control::membership {

/** Orders the records of one member: by process start, then by change since then. */
struct MemberVersion
{
    /** Milliseconds since 1970 at which the process started. */
    std::uint64_t generation = 0;
    std::uint32_t sequence = 0;

    friend constexpr auto operator<=>(const MemberVersion &, const MemberVersion &) = default;
};

} // namespace boragetrack::control::membership
