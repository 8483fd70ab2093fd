/** Fencing token of a duty. */
#pragma once

#include <compare>
#include <cstdint>

namespace boragetrack::control::usage {

/** Orders the holders of a duty; each holder has a higher token than all before it. */
class FencingToken
{
public:
    constexpr FencingToken() = default;
    constexpr explicit FencingToken(std::uint64_t number)
        : number_(number)
    {}

    /** Returns the number; zero stands for no token. */
    constexpr std::uint64_t number() const { return number_; }

    friend constexpr auto operator<=>(const FencingToken &, const FencingToken &) = default;

private:
    std::uint64_t number_ = 0;
};

} // namespace boragetrack::control::usage
