/** The signals that end a program or make it read its settings again. */
#pragma once

#include "core/concurrency/SignalEvent.h"

#include <chrono>
#include <csignal>

namespace boragetrack::core::concurrency {

/** Blocks SIGTERM and SIGINT in this thread and in those that it starts from here on.
    @returns the blocked signals */
sigset_t blockStopSignals();

/** Waits for one of the signals. */
void waitForStopSignal(const sigset_t &signals);

/** Blocks SIGHUP besides the signals that end a program, in this thread and in those that it starts
    from here on. @returns the blocked signals */
sigset_t blockControlSignals();

/** Waits for one of the signals. @param timeout the longest wait */
SignalEvent waitForSignal(const sigset_t &signals, std::chrono::milliseconds timeout);

} // namespace boragetrack::core::concurrency
