/** Revision number of the intent and of the store's records. */
#pragma once

#include <compare>
#include <cstdint>

namespace boragetrack::core::identity {

/** Orders accepted intents, or the changes of a store of records; a higher revision always replaces
    a lower one. */
class Revision
{
public:
    constexpr Revision() = default;
    constexpr explicit Revision(std::uint64_t number)
        : number_(number)
    {}

    /** Returns the number; zero means that there is no intent yet. */
    constexpr std::uint64_t number() const { return number_; }

    /** Returns the revision of the next change. */
    constexpr Revision next() const { return Revision(number_ + 1); }

    friend constexpr auto operator<=>(const Revision &, const Revision &) = default;

private:
    std::uint64_t number_ = 0;
};

} // namespace boragetrack::core::identity
