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
    const IntentSnapshot *settled = settledAt(now);
    const auto first = std::find_if(entries_.begin(), entries_.end(), [&](const Entry &entry) {
        return settled == nullptr || entry.intent.get() == settled;
    });
    result.entries_.assign(first, entries_.end());
    result.entries_.push_back(Entry{std::move(intent), now});
    return result;
}

const IntentSnapshot *IntentHistory::settledAt(MonotonicTime now) const
{
    const auto last = std::find_if(entries_.rbegin(), entries_.rend(), [&](const Entry &entry) {
        return now - entry.since >= settleTime;
    });
    return last == entries_.rend() ? nullptr : last->intent.get();
}

} // namespace boragetrack::traffic::routing
