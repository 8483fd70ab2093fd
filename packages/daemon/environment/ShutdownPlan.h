/** Periods of a graceful shutdown. */
#pragma once

#include <chrono>

namespace boragetrack::daemon::environment {

/** Sets how long each phase of a graceful shutdown may take. */
struct ShutdownPlan
{
    /** How long callers are still served, so that they can notice the shutdown. */
    std::chrono::milliseconds callerGracePeriod{0};
    /** How long the departure is announced to peers before their calls are refused. */
    std::chrono::milliseconds peerNoticePeriod{300};
    /** Time from the start of the shutdown in which all calls in progress must end. */
    std::chrono::milliseconds totalTimeout{15'000};
};

} // namespace boragetrack::daemon::environment
