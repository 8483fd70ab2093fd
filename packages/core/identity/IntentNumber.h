/** The number that operators give an intent. */
#pragma once

#include <compare>
#include <cstdint>

namespace boragetrack::core::identity {

/** Orders the intents of operators, independently of the revision under which a store holds one: a
    write that takes effect late has a late revision and an early number. */
class IntentNumber
{
public:
    constexpr IntentNumber() = default;
    constexpr explicit IntentNumber(std::uint64_t number)
        : number_(number)
    {}

    /** Returns the number; zero for an intent without one. */
    constexpr std::uint64_t number() const { return number_; }

    friend constexpr auto operator<=>(const IntentNumber &, const IntentNumber &) = default;

private:
    std::uint64_t number_ = 0;
};

} // namespace boragetrack::core::identity
