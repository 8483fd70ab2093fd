/** Timer subscription with the lifetime of its scope. */
#pragma once

#include "core/timing/TimerService.h"

namespace boragetrack::core::timing {

/** Subscribes a listener in the constructor and removes it in the destructor. */
class ScopedTimer
{
public:
    /** @param service and @param listener outlive this object */
    ScopedTimer(TimerService &service, TimerService::Listener &listener,
                std::chrono::milliseconds period)
        : service_(service)
        , listener_(listener)
    {
        service_.addListener(listener_, period);
    }
    ~ScopedTimer() { service_.removeListener(listener_); }
    ScopedTimer(const ScopedTimer &) = delete;
    ScopedTimer &operator=(const ScopedTimer &) = delete;

private:
    TimerService &service_;
    TimerService::Listener &listener_;
};

} // namespace boragetrack::core::timing
