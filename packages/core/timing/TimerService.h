/** Interface of periodic timers. */
#pragma once

#include "core/timing/MonotonicTime.h"

#include <chrono>

namespace boragetrack::core::timing {

/** Calls each listener periodically, on the thread that owns the service. */
class TimerService
{
public:
    /** Receives the ticks of one subscription. */
    class Listener
    {
    public:
        virtual ~Listener() = default;

        /** Handles a tick. @param now the time at which the tick is delivered */
        virtual void timerElapsed(MonotonicTime now) = 0;
    };

    virtual ~TimerService() = default;

    /** Subscribes a listener, which has at most one subscription. */
    virtual void addListener(Listener &listener, std::chrono::milliseconds period) = 0;

    /** Removes the subscription of a listener, if there is one. */
    virtual void removeListener(Listener &listener) = 0;

    /** Returns the current time of the service's clock. */
    virtual MonotonicTime now() const = 0;
};

} // namespace boragetrack::core::timing
