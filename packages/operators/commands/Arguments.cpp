/** Recognises a relative time by its leading "+" and trailing "s". */
#include "operators/commands/Arguments.h"

#include <charconv>

namespace boragetrack::operators::commands {

std::optional<int> parseInteger(const std::string &text)
{
    int number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

std::optional<core::timing::WallTime> parseTimeArgument(const std::string &text)
{
    const bool isRelative = text.size() > 2 && text.front() == '+' && text.back() == 's';
    if (!isRelative)
        return core::timing::parseWallTime(text);
    const auto seconds = parseInteger(text.substr(1, text.size() - 2));
    if (!seconds)
        return std::nullopt;
    return core::timing::currentWallTime() + std::chrono::seconds(*seconds);
}

} // namespace boragetrack::operators::commands
