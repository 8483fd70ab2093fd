/** A timer subscription that ends with its scope. */
#pragma once

#include "core/timing/TimerService.h"

namespace boragetrack::core::timing {

/** Subscribes a listener for as long as this object lives. */
class ScopedTimer
{
public:
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
