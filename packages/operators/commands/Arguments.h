/** Reads the values of arguments. */
#pragma once

#include "core/timing/WallTime.h"

#include <optional>
#include <string>

namespace boragetrack::operators::commands {

/** Returns a whole number, or nothing for other text. */
std::optional<int> parseInteger(const std::string &text);

/** Returns a time given as RFC 3339, or as "+600s" from now. */
std::optional<core::timing::WallTime> parseTimeArgument(const std::string &text);

} // namespace boragetrack::operators::commands
