/** The events of a plan that may delay a change. */
#pragma once

#include "emulator/restarts/RestartPlan.h"

namespace boragetrack::emulator::restarts {

/** Returns the kinds of the events, other than changes, moves and departures, that last until
    RestartRules' stableWindow before a time or longer and begin before another one.
    @param from,to times from the start of the simulation */
std::vector<RestartFaultKind> disturbancesBetween(const RestartPlan &plan,
                                                  std::chrono::milliseconds from,
                                                  std::chrono::milliseconds to);

} // namespace boragetrack::emulator::restarts
