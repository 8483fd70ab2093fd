/** What a call needs of an endpoint. */
#pragma once

#include <chrono>

namespace boragetrack::traffic::routing {

/** Describes a call as the choice of an endpoint needs it. */
struct CallRequirements
{
    /** Lower ranks go first where calls wait. */
    int rank = 1;
    /** The time left in which an answer is worth most; not positive when that is over. */
    std::chrono::microseconds objective{0};
    /** The time left in which an answer is of use. */
    std::chrono::microseconds budget{0};
};

} // namespace boragetrack::traffic::routing
