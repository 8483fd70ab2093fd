/** The timer service that parts subscribe to. */
#pragma once

#include "core/timing/MonotonicTime.h"

#include <chrono>

namespace boragetrack::core::timing {

/** Calls its listeners at their periods, on the thread that owns the service. */
class TimerService
{
public:
    /** Receives the ticks of one subscription. */
    class Listener
    {
    public:
        virtual ~Listener() = default;

        /** Handles one tick. @param now the time at which the tick is delivered */
        virtual void timerElapsed(MonotonicTime now) = 0;
    };

    virtual ~TimerService() = default;

    /** Subscribes a listener; a listener has at most one subscription. */
    virtual void addListener(Listener &listener, std::chrono::milliseconds period) = 0;

    /** Ends the listener's subscription; does nothing when it has none. */
    virtual void removeListener(Listener &listener) = 0;

    /** Returns the current time. */
    virtual MonotonicTime now() const = 0;
};

} // namespace boragetrack::core::timing
