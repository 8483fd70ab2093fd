/** How a planned stop goes. */
#pragma once

#include <chrono>

namespace boragetrack::daemon::environment {

/** Divides the time of a planned stop. */
struct ShutdownPlan
{
    /** How long callers are still served, so that they can notice the stop. */
    std::chrono::milliseconds callerGracePeriod{0};
    /** How long peers hear of the departure before their calls are refused. */
    std::chrono::milliseconds peerNoticePeriod{300};
    /** The time from the beginning in which all work under way must end. */
    std::chrono::milliseconds totalTimeout{15'000};
};

} // namespace boragetrack::daemon::environment
