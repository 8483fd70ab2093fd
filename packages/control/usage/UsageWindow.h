/** Number of a reporting window. */
#pragma once

#include "core/timing/WallTime.h"

#include <compare>
#include <cstdint>

namespace boragetrack::control::usage {

/** Identifies a reporting window: window k begins k periods after 1970-01-01T00:00:00Z. */
class UsageWindow
{
public:
    constexpr UsageWindow() = default;
    constexpr explicit UsageWindow(std::uint64_t number)
        : number_(number)
    {}

    /** Returns the window that a time lies in. @param period the length of all windows, above 0 */
    static constexpr UsageWindow at(core::timing::WallTime time, std::chrono::milliseconds period)
    {
        return UsageWindow(static_cast<std::uint64_t>(time.time_since_epoch() / period));
    }

    /** Returns the number; zero stands for no window. */
    constexpr std::uint64_t number() const { return number_; }

    /** Returns the window after this one. */
    constexpr UsageWindow next() const { return UsageWindow(number_ + 1); }

    /** Returns the time at which the window ends. @param period the length of all windows */
    constexpr core::timing::WallTime endsAt(std::chrono::milliseconds period) const
    {
        return core::timing::WallTime(period * static_cast<std::int64_t>(number_ + 1));
    }

    friend constexpr auto operator<=>(const UsageWindow &, const UsageWindow &) = default;

private:
    std::uint64_t number_ = 0;
};

} // namespace boragetrack::control::usage
