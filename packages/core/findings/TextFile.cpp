/** Reads through a stream buffer, which also works for files of unknown size. */
#include "core/findings/TextFile.h"

#include <fstream>
#include <sstream>

namespace boragetrack::core::findings {

std::optional<std::string> readTextFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return std::nullopt;
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace boragetrack::core::findings
