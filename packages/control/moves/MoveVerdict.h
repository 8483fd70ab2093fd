/** Message that stops a move on all nodes. */
#pragma once

#include <string>

namespace boragetrack::control::moves {

/** States that the new version of a move is bad. A verdict is never withdrawn and takes effect
    before it is recorded in the store. */
struct MoveVerdict
{
    std::string moveId;
    /** A description of the evidence for operators. */
    std::string evidence;
};

} // namespace boragetrack::control::moves
