/** The verdict that a version is bad. */
#pragma once

#include <string>

namespace boragetrack::control::moves {

/** States that the new version of a move is bad; sticky, and valid without any record of it. */
struct MoveVerdict
{
    std::string moveId;
    /** The evidence in plain words. */
    std::string evidence;
};

} // namespace boragetrack::control::moves
