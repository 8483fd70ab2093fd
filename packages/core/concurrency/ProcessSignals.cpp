/** Implements the handling of stop signals. */
#include "core/concurrency/ProcessSignals.h"

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

sigset_t blockControlSignals()
{
    sigset_t signals = blockStopSignals();
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

SignalEvent waitForSignal(const sigset_t &signals, std::chrono::milliseconds timeout)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(timeout);
    const std::chrono::nanoseconds rest = timeout - seconds;
    const timespec limit{seconds.count(), rest.count()};
    const int signal = sigtimedwait(&signals, nullptr, &limit);
    if (signal == SIGHUP)
        return SignalEvent::Reload;
    return signal == SIGTERM || signal == SIGINT ? SignalEvent::Stop : SignalEvent::None;
}

} // namespace boragetrack::core::concurrency
