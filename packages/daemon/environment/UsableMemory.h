/** The memory that the budget for calls is derived from. */
#pragma once

#include "daemon/environment/MemoryLimit.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace boragetrack::daemon::environment {

/** Says how much memory a node takes for its own, and why. */
struct UsableMemory
{
    /** The most that a node takes without a setting, so that a process on a large shared machine
        has a bound too. A quarter of it is the budget for calls, which holds 256 responses of 4
       MiB, the largest, besides the 56 MB of bodies that are read at a time. */
    static constexpr std::size_t maximumDefaultBytes = 5'000'000'000;

    std::size_t bytes = maximumDefaultBytes;
    /** The name of the limit that decided, "setting" or "default". */
    std::string source;
    /** The names of the limits that could not be read, separated by commas. */
    std::string unreadSources;

    /** Selects the smallest of the limits and of the setting, or of the limits and the default
        without a setting.
        @param setting in bytes */
    static UsableMemory select(std::optional<std::size_t> setting,
                               const std::vector<MemoryLimit> &limits);
};

} // namespace boragetrack::daemon::environment
