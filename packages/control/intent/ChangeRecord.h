/** Metadata of a change to the intent. */
#pragma once

#include "core/timing/WallTime.h"

#include <string>

namespace boragetrack::control::intent {

/** Describes one change in the stored intent and the audit trail. */
struct ChangeRecord
{
    /** Unique id, which shows whether a write took effect if its response was lost. */
    std::string changeId;
    std::string author;
    core::timing::WallTime time{};
    /** A description of the change. */
    std::string action;
    std::string reason;
};

} // namespace boragetrack::control::intent
