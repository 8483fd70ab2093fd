/** Implements LoadBoard. */
#include "traffic/routing/LoadBoard.h"

#include <algorithm>

namespace boragetrack::traffic::routing {

using core::identity::NodeId;
using core::timing::MonotonicTime;

namespace {

// An older report says little; own calls then count alone.
constexpr std::chrono::milliseconds reportLife{1000};
constexpr int longestDoubling = 6;

bool isEndpointFailure(const calls::CallAnswer &answer)
{
    // A refusal that carries a load report comes from a live node that is merely busy.
    const bool isBusy = answer.load.limit > 0;
    return answer.outcome == calls::CallOutcome::Unknown
           || (answer.outcome == calls::CallOutcome::NotRun && !isBusy);
}

} // namespace

EndpointLoad LoadBoard::load(const NodeId &node, MonotonicTime now) const
{
    const std::lock_guard lock(mutex_);
    const auto found = entries_.find(node);
    if (found == entries_.end())
        return EndpointLoad{};
    const Entry &entry = found->second;
    EndpointLoad load{entry.reported, entry.ownInFlight, now < entry.restsUntil};
    if (now - entry.reportedAt > reportLife) {
        load.reported.inFlight = 0;
        load.reported.queued = 0;
    }
    return load;
}

void LoadBoard::begin(const NodeId &node)
{
    const std::lock_guard lock(mutex_);
    ++entries_[node].ownInFlight;
}

void LoadBoard::end(const NodeId &node, const calls::CallAnswer &answer, MonotonicTime now)
{
    const std::lock_guard lock(mutex_);
    Entry &entry = entries_[node];
    --entry.ownInFlight;
    if (answer.load.limit > 0) {
        entry.reported = answer.load;
        entry.reportedAt = now;
    }
    if (!isEndpointFailure(answer)) {
        entry.failuresInRow = 0;
        return;
    }
    const int doublings = std::min(entry.failuresInRow, longestDoubling);
    entry.restsUntil = now + std::min(longestRest, firstRest * (1 << doublings));
    ++entry.failuresInRow;
}

} // namespace boragetrack::traffic::routing
