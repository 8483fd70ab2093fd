/** Ages in log fields. */
#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace boragetrack::core::events {

/** Returns an age in milliseconds as a log field, "none" without one. */
inline std::string ageText(const std::optional<std::chrono::milliseconds> &age)
{
    return age ? std::to_string(age->count()) : "none";
}

} // namespace boragetrack::core::events
