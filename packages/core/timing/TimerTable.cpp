/** Searches linearly for due entries, and collects them before it calls listeners, because these
    may change the table. */
#include "core/timing/TimerTable.h"

#include <algorithm>

namespace boragetrack::core::timing {

void TimerTable::add(TimerService::Listener &listener, std::chrono::milliseconds period,
                     MonotonicTime now)
{
    remove(listener);
    entries_.push_back(Entry{&listener, period, now + period});
}

void TimerTable::remove(TimerService::Listener &listener)
{
    std::erase_if(entries_, [&](const Entry &entry) { return entry.listener == &listener; });
}

std::optional<MonotonicTime> TimerTable::nextDue() const
{
    if (entries_.empty())
        return std::nullopt;
    const auto byDue = [](const Entry &a, const Entry &b) { return a.due < b.due; };
    return std::min_element(entries_.begin(), entries_.end(), byDue)->due;
}

void TimerTable::deliverDue(MonotonicTime now)
{
    std::vector<TimerService::Listener *> due;
    for (Entry &entry : entries_) {
        if (entry.due > now)
            continue;
        entry.due = std::max(entry.due + entry.period, now);
        due.push_back(entry.listener);
    }
    for (TimerService::Listener *listener : due)
        listener->timerElapsed(now);
}

} // namespace boragetrack::core::timing
