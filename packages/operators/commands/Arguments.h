/** Parsing of argument values that several commands accept. */
#pragma once

#include "core/timing/WallTime.h"

#include <optional>
#include <string>

namespace boragetrack::operators::commands {

/** Parses a decimal integer. @returns nothing if the text is anything else or out of range */
std::optional<int> parseInteger(const std::string &text);

/** Parses a time in RFC 3339 format, or relative to the current time, such as "+600s".
    @returns nothing if the text has neither format */
std::optional<core::timing::WallTime> parseTimeArgument(const std::string &text);

} // namespace boragetrack::operators::commands
