/** Implements the handling of stop signals. */
#include "core/concurrency/StopSignals.h"

namespace boragetrack::core::concurrency {

sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

void waitForStopSignal(const sigset_t &signals)
{
    int signal = 0;
    sigwait(&signals, &signal);
}

} // namespace boragetrack::core::concurrency
