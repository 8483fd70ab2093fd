/** The signals that end a program. */
#pragma once

#include <csignal>

namespace boragetrack::core::concurrency {

/** Blocks SIGTERM and SIGINT in this thread and in those that it starts from here on.
    @returns the blocked signals */
sigset_t blockStopSignals();

/** Waits for one of the signals. */
void waitForStopSignal(const sigset_t &signals);

} // namespace boragetrack::core::concurrency
