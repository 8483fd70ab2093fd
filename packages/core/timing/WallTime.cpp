/** Converts by strftime() and strptime(); milliseconds are formatted separately. */
#include "core/timing/WallTime.h"

#include <cstdio>
#include <ctime>

namespace boragetrack::core::timing {

namespace {
constexpr const char *timeFormat = "%Y-%m-%dT%H:%M:%SZ";
} // namespace

std::string formatWallTime(WallTime time)
{
    const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char text[32];
    const std::size_t length = std::strftime(text, sizeof(text), timeFormat, &parts);
    return std::string(text, length);
}

std::string formatWallTimeMillis(WallTime time)
{
    const auto seconds = std::chrono::floor<std::chrono::seconds>(time);
    char fraction[8];
    std::snprintf(fraction, sizeof(fraction), ".%03dZ", static_cast<int>((time - seconds).count()));
    std::string text = formatWallTime(seconds);
    text.replace(text.size() - 1, 1, fraction);
    return text;
}

std::optional<WallTime> parseWallTime(const std::string &text)
{
    std::tm parts{};
    const char *end = strptime(text.c_str(), timeFormat, &parts);
    if (end == nullptr || *end != '\0')
        return std::nullopt;
    return WallTime(std::chrono::seconds(timegm(&parts)));
}

WallTime currentWallTime()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now());
}

} // namespace boragetrack::core::timing
