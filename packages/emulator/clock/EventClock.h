/** Time that runs as fast as its events allow. */
#pragma once

#include "core/timing/MonotonicTime.h"

#include <functional>
#include <queue>
#include <vector>

namespace boragetrack::emulator::clock {

/** Runs events in the order of their times; events of one time run in the order of their making. */
class EventClock
{
public:
    using Event = std::function<void()>;

    /** The time at which a day begins; what never happened lies an hour before it. */
    static constexpr core::timing::MonotonicTime start{std::chrono::hours(1)};

    /** Returns the time of the event that runs. */
    core::timing::MonotonicTime now() const { return now_; }

    /** Runs an event after a delay. @param delay not negative */
    void schedule(std::chrono::nanoseconds delay, Event event);

    /** Runs events until none is left before a time. */
    void runUntil(core::timing::MonotonicTime end);

private:
    struct Entry
    {
        core::timing::MonotonicTime at;
        std::uint64_t number = 0;
        Event event;
    };

    struct IsLater
    {
        bool operator()(const Entry &a, const Entry &b) const;
    };

    core::timing::MonotonicTime now_ = start;
    std::uint64_t lastNumber_ = 0;
    // Invariant: no entry lies before now_.
    std::priority_queue<Entry, std::vector<Entry>, IsLater> entries_;
};

} // namespace boragetrack::emulator::clock
