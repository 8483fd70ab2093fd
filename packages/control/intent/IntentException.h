/** An operators' exception from the defaults. */
#pragma once

#include "control/intent/ExceptionScope.h"
#include "core/timing/WallTime.h"

#include <optional>
#include <string>

namespace boragetrack::control::intent {

/** Sets one setting within a scope, with the reason for it. */
struct IntentException
{
    std::string id;
    ExceptionScope scope;
    std::string setting;
    int value = 0;
    std::string reason;
    std::string author;
    core::timing::WallTime createdAt{};
    /** The exception has no effect from this time on; without it, it stays until retired. */
    std::optional<core::timing::WallTime> expiresAt;
};

} // namespace boragetrack::control::intent
