/** A move's outcome that is to be recorded. */
#pragma once

#include "control/intent/MoveState.h"

#include <string>

namespace boragetrack::control::moves {

/** Asks for a move's state to be recorded in the intent, once. */
struct MoveRecord
{
    std::string moveId;
    intent::MoveState state = intent::MoveState::Running;
    std::string evidence;
};

} // namespace boragetrack::control::moves
