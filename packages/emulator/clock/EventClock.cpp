/** Implements EventClock. */
#include "emulator/clock/EventClock.h"

#include <algorithm>

namespace boragetrack::emulator::clock {

bool EventClock::IsLater::operator()(const Entry &a, const Entry &b) const
{
    return a.at != b.at ? a.at > b.at : a.number > b.number;
}

void EventClock::schedule(std::chrono::nanoseconds delay, Event event)
{
    const auto notNegative = std::max(delay, std::chrono::nanoseconds::zero());
    entries_.push(Entry{now_ + notNegative, ++lastNumber_, std::move(event)});
}

void EventClock::runUntil(core::timing::MonotonicTime end)
{
    while (!entries_.empty() && entries_.top().at < end) {
        // The queue only hands out constant entries; the event is not needed there any more.
        Event event = std::move(const_cast<Entry &>(entries_.top()).event);
        now_ = entries_.top().at;
        entries_.pop();
        event();
    }
    now_ = end;
}

} // namespace boragetrack::emulator::clock
