/** Waits for the next task or the next tick, whichever comes first. */
#include "daemon/service/ControlThread.h"

namespace boragetrack::daemon::service {

namespace {
constexpr std::chrono::hours idleWait{1};
} // namespace

void ControlThread::start()
{
    thread_ = std::thread([this]() { run(); });
}

void ControlThread::stop()
{
    queue_.close();
    if (thread_.joinable())
        thread_.join();
}

void ControlThread::addListener(Listener &listener, std::chrono::milliseconds period)
{
    timers_.add(listener, period, now());
}

void ControlThread::removeListener(Listener &listener)
{
    timers_.remove(listener);
}

void ControlThread::run()
{
    while (true) {
        const auto task = queue_.waitUntil(timers_.nextDue().value_or(now() + idleWait));
        if (task)
            (*task)();
        else if (queue_.isClosed())
            return;
        timers_.deliverDue(now());
    }
}

} // namespace boragetrack::daemon::service
