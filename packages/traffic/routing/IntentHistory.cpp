/** Entries are dropped when a further intent comes into force. */
#include "traffic/routing/IntentHistory.h"

#include <algorithm>

namespace boragetrack::traffic::routing {

using control::intent::IntentSnapshot;
using core::timing::MonotonicTime;

IntentHistory IntentHistory::with(std::shared_ptr<const IntentSnapshot> intent,
                                  MonotonicTime now) const
{
    IntentHistory result;
    static_assert(memoryTime >= settleTime);
    const IntentSnapshot *oldest = latestOlderThan(memoryTime, now);
    const auto first = std::find_if(entries_.begin(), entries_.end(), [&](const Entry &entry) {
        return oldest == nullptr || entry.intent.get() == oldest;
    });
    result.entries_.assign(first, entries_.end());
    result.entries_.push_back(Entry{std::move(intent), now});
    return result;
}

const IntentSnapshot *IntentHistory::settledAt(MonotonicTime now) const
{
    return latestOlderThan(settleTime, now);
}

std::vector<const IntentSnapshot *> IntentHistory::replacedAt(MonotonicTime now) const
{
    std::vector<const IntentSnapshot *> replaced;
    for (std::size_t i = 1; i < entries_.size(); ++i) {
        if (now - entries_[i].since < memoryTime)
            replaced.push_back(entries_[i - 1].intent.get());
    }
    return replaced;
}

const IntentSnapshot *IntentHistory::latestOlderThan(std::chrono::milliseconds age,
                                                     MonotonicTime now) const
{
    const auto last = std::find_if(entries_.rbegin(), entries_.rend(),
                                   [&](const Entry &entry) { return now - entry.since >= age; });
    return last == entries_.rend() ? nullptr : last->intent.get();
}

} // namespace boragetrack::traffic::routing
