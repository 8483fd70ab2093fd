/** Implements what all stand-in programs share. */
#include "standins/StandinProgram.h"

namespace boragetrack::standins {

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

} // namespace boragetrack::standins
