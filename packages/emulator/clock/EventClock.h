/** Clock and event queue of a simulation. */
#pragma once

#include "core/timing/MonotonicTime.h"

#include <functional>
#include <queue>
#include <vector>

namespace boragetrack::emulator::clock {

/**
    Keeps the simulated time, which jumps from one event to the next.

    Events run in the order of their times, those with equal times in the order in which they were
    scheduled, so that a simulation is reproducible. Not thread-safe.
*/
class EventClock
{
public:
    using Event = std::function<void()>;

    /** Start of every simulation. It lies an hour after the default MonotonicTime, which stands for
        "never", so that such times are far in the past. */
    static constexpr core::timing::MonotonicTime start{std::chrono::hours(1)};

    /** Returns the time of the running event. */
    core::timing::MonotonicTime now() const { return now_; }

    /** Schedules an event. @param delay from now(); a negative one counts as zero */
    void schedule(std::chrono::nanoseconds delay, Event event);

    /** Runs all events that are due before a time, also those that they schedule, and then sets the
        clock to it. */
    void runUntil(core::timing::MonotonicTime end);

private:
    struct Entry
    {
        core::timing::MonotonicTime at;
        std::uint64_t sequence = 0;
        Event event;
    };

    struct IsLater
    {
        bool operator()(const Entry &a, const Entry &b) const;
    };

    core::timing::MonotonicTime now_ = start;
    std::uint64_t lastSequence_ = 0;
    // Invariant: no entry is due before now_.
    std::priority_queue<Entry, std::vector<Entry>, IsLater> entries_;
};

} // namespace boragetrack::emulator::clock
