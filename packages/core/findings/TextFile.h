/** Reads text files. */
#pragma once

#include <optional>
#include <string>

namespace boragetrack::core::findings {

/** Returns a file's text, or nothing when it cannot be opened. */
std::optional<std::string> readTextFile(const std::string &path);

} // namespace boragetrack::core::findings
