/** A move's outcome that is to be recorded. */
#pragma once

#include "control/intent/MoveState.h"
#include "core/timing/WallTime.h"

#include <string>

namespace boragetrack::control::moves {

/** Asks for a move's state to be recorded, once. The state Running records the start. */
struct MoveRecord
{
    std::string moveId;
    intent::MoveState state = intent::MoveState::Running;
    std::string evidence;
    /** When the move began; recorded with every state. */
    core::timing::WallTime startAt{};
};

} // namespace boragetrack::control::moves
