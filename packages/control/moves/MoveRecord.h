/** Request to record the state of a move in the store. */
#pragma once

#include "control/intent/MoveState.h"
#include "core/timing/WallTime.h"

#include <string>

namespace boragetrack::control::moves {

/** Contains a state that a move has reached. The state Running records the start. */
struct MoveRecord
{
    std::string moveId;
    intent::MoveState state = intent::MoveState::Running;
    /** A description for operators; empty with the state Running. */
    std::string evidence;
    /** When the move started; recorded with every state. */
    core::timing::WallTime startAt{};
};

} // namespace boragetrack::control::moves
