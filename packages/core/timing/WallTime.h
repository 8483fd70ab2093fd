/** A point on the calendar clock. */
#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace boragetrack::core::timing {

/** Marks an instant that operators and different processes share, to the millisecond. */
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/** Returns the time in RFC 3339 form, in UTC and whole seconds. */
std::string formatWallTime(WallTime time);

/** Returns the time in RFC 3339 form, in UTC and with milliseconds. */
std::string formatWallTimeMillis(WallTime time);

/** Reads a time in RFC 3339 form in UTC ("2026-12-04T09:00:00Z"); returns nothing otherwise. */
std::optional<WallTime> parseWallTime(const std::string &text);

/** Returns the current time of the system clock. */
WallTime currentWallTime();

} // namespace boragetrack::core::timing
