/** Time on the system clock, with its RFC 3339 text form. */
#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace boragetrack::core::timing {

/** Time point, in milliseconds, that is comparable between processes and shown to operators. */
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/** Formats a time by RFC 3339, in UTC with whole seconds. */
std::string formatWallTime(WallTime time);

/** Formats a time by RFC 3339, in UTC with milliseconds. */
std::string formatWallTimeMillis(WallTime time);

/** Parses a time by RFC 3339, in UTC with whole seconds ("2026-12-04T09:00:00Z"). @returns nothing
    if the text has another form */
std::optional<WallTime> parseWallTime(const std::string &text);

/** Returns the current time of the system clock. */
WallTime currentWallTime();

} // namespace boragetrack::core::timing
