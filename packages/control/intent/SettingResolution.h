/** Why a setting has its value. */
#pragma once

#include <string>

namespace boragetrack::control::intent {

/** Tells a setting's value on a route, where it comes from and what it overrides. */
struct SettingResolution
{
    std::string setting;
    int value = 0;
    /** "default", "route" for a value of the route's own, or the id of the exception that won. */
    std::string origin;
    /** The exception's reason; empty for a default. */
    std::string reason;
    /** Ids of the exceptions that also cover the route but lost, narrowest first. */
    std::string overridden;
};

} // namespace boragetrack::control::intent
