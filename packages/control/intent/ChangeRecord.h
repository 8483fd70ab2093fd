/** Who changed the intent, when, how and why. */
#pragma once

#include "core/timing/WallTime.h"

#include <string>

namespace boragetrack::control::intent {

/** Describes one change for the audit trail. */
struct ChangeRecord
{
    /** Unique to this change; settles whether a write whose answer was lost took effect. */
    std::string changeId;
    std::string author;
    core::timing::WallTime time{};
    std::string action;
    std::string reason;
};

} // namespace boragetrack::control::intent
