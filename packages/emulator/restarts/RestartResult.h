/** What a simulation of restarts has shown. */
#pragma once

#include "emulator/restarts/ChangeDelay.h"
#include "emulator/restarts/PeakLoad.h"
#include "emulator/restarts/Violation.h"

#include <vector>

namespace boragetrack::emulator::restarts {

/** Holds the violations of a run and how long nodes were without an intent. */
struct RestartResult
{
    /** At most one for each rule and process. */
    std::vector<Violation> violations;
    /** For each process that started after the first events: the time from its start until it had
        an intent in force, less the time in which it could reach no process that had one. Processes
        that ended before are left out. */
    std::vector<std::chrono::milliseconds> intentWaits;
    /** The longest time after which a change was not in force yet on a node in touch. */
    std::chrono::milliseconds longestChangeDelay{0};
    /** How long each change took to be in force on all nodes in touch, in the order of the changes.
     */
    std::vector<ChangeDelay> changeDelays;
    /** The number of calls that reached the store. */
    int storeCalls = 0;
    /** The number of transfers of the intent that nodes requested from each other. */
    int intentFetches = 0;
    /** The highest number of messages that one process got within a second, and of the transfers of
        the intent that it sent, both after the first events. */
    PeakLoad peakLoad;
};

} // namespace boragetrack::emulator::restarts
