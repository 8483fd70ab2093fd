/** Revision number of the intent and of the store's records. */
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace boragetrack::core::identity {

/**
    Orders accepted intents, or the changes of a store of records; a higher revision always replaces
    a lower one.

    A store that comes back from a copy gives numbers out again. Its revisions therefore have an era
    too, which rises each time; any revision of a later era is higher than all of the earlier ones.
    Revisions of a store that never came back, and those of intents, are of era zero.
*/
class Revision
{
public:
    constexpr Revision() = default;
    constexpr explicit Revision(std::uint64_t number)
        : number_(number)
    {}

    /** The highest era, and the highest number within an era. */
    static constexpr std::uint64_t maximumEra = 0xffff;
    static constexpr std::uint64_t maximumNumberInEra = 0xffff'ffff'ffff;

    /** Returns the revision that a store named in an era. Neither part may exceed its maximum. */
    static constexpr Revision inEra(std::uint64_t era, std::uint64_t number)
    {
        return Revision(era << numberBits | number);
    }

    /** Returns a number in the order of the revisions; zero means that there is no intent yet. */
    constexpr std::uint64_t number() const { return number_; }

    /** Returns the era of the store. */
    constexpr std::uint64_t era() const { return number_ >> numberBits; }

    /** Returns the number that the store gave. */
    constexpr std::uint64_t numberInEra() const { return number_ & maximumNumberInEra; }

    /** Returns the number that the store gave, behind its era and a colon unless that is zero. */
    std::string toString() const
    {
        const std::string number = std::to_string(numberInEra());
        return era() == 0 ? number : std::to_string(era()) + ":" + number;
    }

    /** Returns the revision of the next change. */
    constexpr Revision next() const { return Revision(number_ + 1); }

    friend constexpr auto operator<=>(const Revision &, const Revision &) = default;

private:
    static constexpr int numberBits = 48;

    // The era is in the bits above the number.
    std::uint64_t number_ = 0;
};

} // namespace boragetrack::core::identity
