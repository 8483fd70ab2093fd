/** What all stand-in programs share. */
#pragma once

#include <csignal>

namespace boragetrack::standins {

/** Blocks the stop signals in this thread and those it starts. @returns the blocked signals */
sigset_t blockStopSignals();

/** Waits for a stop signal. */
void waitForStopSignal(const sigset_t &signals);

} // namespace boragetrack::standins
