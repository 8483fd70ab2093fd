/** Input of whole text files. */
#pragma once

#include <optional>
#include <string>

namespace boragetrack::core::findings {

/** Returns the content of a file, or nothing if it cannot be opened. */
std::optional<std::string> readTextFile(const std::string &path);

} // namespace boragetrack::core::findings
