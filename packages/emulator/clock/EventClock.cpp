/** Event loop on a priority queue, ordered by time and then by sequence number. */
#include "emulator/clock/EventClock.h"

#include <algorithm>

namespace boragetrack::emulator::clock {

bool EventClock::IsLater::operator()(const Entry &a, const Entry &b) const
{
    return a.at != b.at ? a.at > b.at : a.sequence > b.sequence;
}

void EventClock::schedule(std::chrono::nanoseconds delay, Event event)
{
    const auto nonNegativeDelay = std::max(delay, std::chrono::nanoseconds::zero());
    entries_.push(Entry{now_ + nonNegativeDelay, ++lastSequence_, std::move(event)});
}

void EventClock::runUntil(core::timing::MonotonicTime end)
{
    while (!entries_.empty() && entries_.top().at < end) {
        // std::priority_queue::top() is const; moving out of it is safe as the entry is popped
        // next.
        Event event = std::move(const_cast<Entry &>(entries_.top()).event);
        now_ = entries_.top().at;
        entries_.pop();
        event();
    }
    now_ = end;
}

} // namespace boragetrack::emulator::clock
