/** Implements LoadTracker. */
#include "traffic/routing/LoadTracker.h"

#include <algorithm>
#include <cmath>

namespace boragetrack::traffic::routing {

using core::identity::NodeId;
using core::identity::RouteName;
using core::timing::MonotonicTime;

namespace {

constexpr int longestDoubling = 6;
// The weight of the last call in the share of failures: some ten calls decide.
constexpr double failureSmoothing = 0.1;
constexpr double sizeSmoothing = 0.1;
constexpr std::chrono::milliseconds failureFading{3000};
// A call without an answer for so long, while no other call to the endpoint got one, means a silent
// link rather than a slow upstream.
constexpr std::chrono::milliseconds silence{600};

bool isUpstreamFailure(const calls::CallResponse &answer)
{
    const bool isShed = answer.outcome == calls::CallOutcome::NotRun && answer.reachedUpstream;
    return answer.isFailure() || isShed || answer.outcome == calls::CallOutcome::Unknown;
}

} // namespace

EndpointLoad LoadTracker::load(const NodeId &node, const RouteName &route, MonotonicTime now) const
{
    EndpointLoad load;
    const auto size = sizes_.find(route);
    if (size != sizes_.end())
        load.bytes = static_cast<std::size_t>(size->second);
    const auto found = entries_.find(node);
    if (found == entries_.end())
        return load;
    const Entry &entry = found->second;
    load.reported = entry.reported;
    load.age = now - entry.reportedAt;
    load.localInFlight = static_cast<int>(entry.underWay.size());
    load.startedSinceReport = entry.startedSinceReport;
    load.work = entry.work.usual(route);
    load.failureRate = fadedFailureShare(entry, now);
    load.isEjected = now < entry.restsUntil;
    load.isUnresponsive = isUnresponsive(entry, now);
    return load;
}

void LoadTracker::recordStart(const NodeId &node, MonotonicTime now)
{
    Entry &entry = entries_[node];
    entry.underWay.push_back(now);
    ++entry.startedSinceReport;
}

void LoadTracker::recordResponse(const NodeId &node, const RouteName &route,
                                 const calls::CallResponse &answer, MonotonicTime begunAt,
                                 MonotonicTime now)
{
    Entry &entry = entries_[node];
    endCall(entry, begunAt);
    if (!answer.hasReachedNode()) {
        const int doublings = std::min(entry.failuresInRow, longestDoubling);
        entry.restsUntil = now + std::min(maximumEjectionTime, baseEjectionTime * (1 << doublings));
        ++entry.failuresInRow;
        return;
    }
    entry.failuresInRow = 0;
    entry.lastAnswerAt = now;
    if (answer.load.limit > 0) {
        entry.reported = answer.load;
        entry.reportedAt = now;
        entry.startedSinceReport = 0;
    }
    const bool isTurnedAway
            = answer.outcome == calls::CallOutcome::NotRun && !answer.reachedUpstream;
    if (isTurnedAway)
        return;
    const double failed = isUpstreamFailure(answer) ? 1.0 : 0.0;
    const double held = fadedFailureShare(entry, now);
    entry.failureRate = held + failureSmoothing * (failed - held);
    entry.failureShareAt = now;
    if (answer.serviceTime.count() > 0 && failed == 0.0)
        entry.work.note(route, answer.serviceTime);
}

void LoadTracker::recordSize(const RouteName &route, std::size_t bytes)
{
    const auto size = static_cast<double>(bytes);
    const auto [held, isNew] = sizes_.try_emplace(route, size);
    held->second += sizeSmoothing * (size - held->second);
}

// An endpoint that gets no calls could never show that it has recovered.
double LoadTracker::fadedFailureShare(const Entry &entry, MonotonicTime now)
{
    const std::chrono::duration<double> age = now - entry.failureShareAt;
    const std::chrono::duration<double> fading = failureFading;
    return entry.failureRate * std::exp(-std::max(0.0, age / fading));
}

void LoadTracker::recordAbandoned(const NodeId &node, MonotonicTime begunAt)
{
    endCall(entries_[node], begunAt);
}

void LoadTracker::endCall(Entry &entry, MonotonicTime begunAt)
{
    const auto found = std::find(entry.underWay.begin(), entry.underWay.end(), begunAt);
    if (found != entry.underWay.end())
        entry.underWay.erase(found);
}

bool LoadTracker::isUnresponsive(const Entry &entry, MonotonicTime now)
{
    if (entry.underWay.empty())
        return false;
    return now - std::max(entry.underWay.front(), entry.lastAnswerAt) > silence;
}

} // namespace boragetrack::traffic::routing
