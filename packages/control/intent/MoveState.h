/** The recorded state of a move. */
#pragma once

namespace boragetrack::control::intent {

/** Tells how far a move has come; Done and TakenBack are final. */
enum class MoveState { Running, Done, TakenBack };

} // namespace boragetrack::control::intent
