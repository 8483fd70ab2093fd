/** The version number of a member record. */
#pragma once

#include <compare>
#include <cstdint>

namespace boragetrack::control::membership {

/** Orders the records of one member by process start, then by the changes since then. */
struct MemberVersion
{
    /** The process start in milliseconds since 1970. */
    std::uint64_t generation = 0;
    std::uint32_t sequence = 0;

    friend constexpr auto operator<=>(const MemberVersion &, const MemberVersion &) = default;
};

} // namespace boragetrack::control::membership
