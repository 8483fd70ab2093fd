/** The order in which nodes apply for a duty. */
#pragma once

#include "control/usage/DutyHolder.h"

#include <string_view>
#include <vector>

namespace boragetrack::control::usage {

/** Returns members in the order in which they apply for a duty: by rendezvous hash of their node,
    so that nodes with the same members agree without messages. @param duty the key of the duty */
std::vector<DutyHolder> electionOrder(std::string_view duty, std::vector<DutyHolder> members);

} // namespace boragetrack::control::usage
