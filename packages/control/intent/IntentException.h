/** An exception from the default settings. */
#pragma once

#include "control/intent/ExceptionScope.h"
#include "core/timing/WallTime.h"

#include <optional>
#include <string>

namespace boragetrack::control::intent {

/** Overrides one setting within a scope. */
struct IntentException
{
    std::string id;
    ExceptionScope scope;
    std::string setting;
    int value = 0;
    std::string reason;
    std::string author;
    core::timing::WallTime createdAt{};
    /** The time from which on the exception has no effect; without it, the exception applies until
        it is removed. */
    std::optional<core::timing::WallTime> expiresAt;
};

} // namespace boragetrack::control::intent
