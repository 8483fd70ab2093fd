/** State of a move as recorded in the store. */
#pragma once

namespace boragetrack::control::intent {

/** The states of a move. A running move becomes done or taken back, and a done one can still be
    taken back. */
enum class MoveState { Running, Done, TakenBack };

} // namespace boragetrack::control::intent
