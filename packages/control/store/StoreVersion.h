/** Version of a stored value. */
#pragma once

#include <compare>
#include <cstdint>

namespace boragetrack::control::store {

/** Number that the platform increases with each write of a key; zero if the key does not exist. */
struct StoreVersion
{
    std::uint64_t number = 0;

    friend constexpr auto operator<=>(const StoreVersion &, const StoreVersion &) = default;
};

} // namespace boragetrack::control::store
