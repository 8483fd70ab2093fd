/** Explanation of the value of a setting. */
#pragma once

#include <string>

namespace boragetrack::control::intent {

/** Contains the value of a setting on a route, its origin and the exceptions that it overrides. */
struct SettingResolution
{
    std::string setting;
    int value = 0;
    /** "default", "route" if the route specifies a value other than the default, or the id of the
        winning exception. */
    std::string origin;
    /** The reason of the winning exception; empty for other origins. */
    std::string reason;
    /** The ids of the other exceptions that cover the route, highest precedence first, separated by
        commas. */
    std::string overridden;
};

} // namespace boragetrack::control::intent
