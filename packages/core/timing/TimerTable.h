/** The subscriptions of a timer service, in the order of their next tick. */
#pragma once

#include "core/timing/TimerService.h"

#include <optional>
#include <vector>

namespace boragetrack::core::timing {

/** Keeps subscriptions and delivers the ticks that are due; the owner supplies the time. */
class TimerTable
{
public:
    /** Adds a subscription whose first tick is one period after now. */
    void add(TimerService::Listener &listener, std::chrono::milliseconds period, MonotonicTime now);

    /** Removes the listener's subscription. */
    void remove(TimerService::Listener &listener);

    /** Returns when the next tick is due, or nothing without subscriptions. */
    std::optional<MonotonicTime> nextDue() const;

    /** Delivers each due tick once; ticks missed in between are not made up for. */
    void deliverDue(MonotonicTime now);

private:
    struct Entry
    {
        TimerService::Listener *listener;
        std::chrono::milliseconds period;
        MonotonicTime due;
    };

    // Invariant: one entry at most for each listener.
    std::vector<Entry> entries_;
};

} // namespace boragetrack::core::timing
