/** Synchronous handling of the signals that stop a program or reload its settings. */
#pragma once

#include "core/concurrency/SignalEvent.h"

#include <chrono>
#include <csignal>

namespace boragetrack::core::concurrency {

/** Blocks SIGTERM and SIGINT in this thread and in threads that it starts later.
    @returns the blocked signals */
sigset_t blockStopSignals();

/** Waits until one of the signals arrives. @param signals blocked by blockStopSignals() */
void waitForStopSignal(const sigset_t &signals);

/** Blocks SIGTERM, SIGINT and SIGHUP in this thread and in threads that it starts later.
    @returns the blocked signals */
sigset_t blockControlSignals();

/** Waits until one of the signals arrives or the timeout elapses.
    @param signals blocked by blockControlSignals() */
SignalEvent waitForSignal(const sigset_t &signals, std::chrono::milliseconds timeout);

} // namespace boragetrack::core::concurrency
