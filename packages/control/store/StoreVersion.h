/** The platform's version of a stored value. */
#pragma once

#include <compare>
#include <cstdint>

namespace boragetrack::control::store {

/** Counts the writes of one key; zero means that the key is absent. */
struct StoreVersion
{
    std::uint64_t number = 0;

    friend constexpr auto operator<=>(const StoreVersion &, const StoreVersion &) = default;
};

} // namespace boragetrack::control::store
