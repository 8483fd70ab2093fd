/** The subscriptions of a timer service with the times of their next ticks. */
#pragma once

#include "core/timing/TimerService.h"

#include <optional>
#include <vector>

namespace boragetrack::core::timing {

/** Stores subscriptions and delivers due ticks; the owner supplies the time. */
class TimerTable
{
public:
    /** Adds a subscription whose first tick is due one period after now, or replaces that of the
        listener. */
    void add(TimerService::Listener &listener, std::chrono::milliseconds period, MonotonicTime now);

    /** Removes the subscription of a listener, if there is one. */
    void remove(TimerService::Listener &listener);

    /** Returns when the next tick is due, or nothing if there are no subscriptions. */
    std::optional<MonotonicTime> nextDue() const;

    /** Calls each due listener once. Of several missed ticks, at most one more is delivered, at the
        next call. */
    void deliverDue(MonotonicTime now);

private:
    struct Entry
    {
        TimerService::Listener *listener;
        std::chrono::milliseconds period;
        MonotonicTime due;
    };

    // Invariant: at most one entry per listener.
    std::vector<Entry> entries_;
};

} // namespace boragetrack::core::timing
