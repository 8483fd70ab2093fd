/** Moving averages of failures, service times and call sizes, and ejection of unreachable endpoints
    with exponential backoff. */
#include "traffic/routing/LoadTracker.h"

#include <algorithm>
#include <cmath>

namespace boragetrack::traffic::routing {

using core::identity::NodeId;
using core::identity::RouteName;
using core::timing::MonotonicTime;

namespace {

constexpr int maximumDoublings = 6;
// The weight of a call in the failure rate, which covers about the last ten calls.
constexpr double failureSmoothing = 0.1;
constexpr double sizeSmoothing = 0.1;
constexpr std::chrono::milliseconds failureDecayTime{3000};
// A call without a response for this long, while no other call to the endpoint got one, indicates a
// broken link; on a slow upstream other calls still end.
constexpr std::chrono::milliseconds unresponsiveTime{600};

bool isUpstreamFailure(const calls::CallResponse &response)
{
    const bool isShed = response.outcome == calls::CallOutcome::NotRun && response.reachedUpstream;
    return response.isFailure() || isShed || response.outcome == calls::CallOutcome::Unknown;
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
    load.localInFlight = static_cast<int>(entry.inFlightSince.size());
    load.startedSinceReport = entry.startedSinceReport;
    load.serviceTime = entry.serviceTimes.estimate(route, now);
    load.failureRate = decayedFailureRate(entry, now);
    load.isEjected = now < entry.ejectedUntil;
    load.isUnresponsive = isUnresponsive(entry, now);
    return load;
}

void LoadTracker::recordStart(const NodeId &node, const RouteName &route, MonotonicTime now)
{
    Entry &entry = entries_[node];
    entry.serviceTimes.recordStart(route, now);
    entry.inFlightSince.push_back(now);
    ++entry.startedSinceReport;
}

void LoadTracker::recordResponse(const NodeId &node, const RouteName &route,
                                 const calls::CallResponse &response, MonotonicTime startedAt,
                                 MonotonicTime now)
{
    Entry &entry = entries_[node];
    removeInFlight(entry, startedAt);
    if (!response.hasReachedNode()) {
        const int doublings = std::min(entry.consecutiveFailures, maximumDoublings);
        entry.ejectedUntil
                = now + std::min(maximumEjectionTime, baseEjectionTime * (1 << doublings));
        ++entry.consecutiveFailures;
        return;
    }
    entry.consecutiveFailures = 0;
    entry.lastResponseAt = now;
    if (response.load.limit > 0) {
        entry.reported = response.load;
        entry.reportedAt = now;
        entry.startedSinceReport = 0;
    }
    const bool isRefusedByNode
            = response.outcome == calls::CallOutcome::NotRun && !response.reachedUpstream;
    if (isRefusedByNode)
        return;
    const double failed = isUpstreamFailure(response) ? 1.0 : 0.0;
    const double rate = decayedFailureRate(entry, now);
    entry.failureRate = rate + failureSmoothing * (failed - rate);
    entry.failureRateAt = now;
    if (response.serviceTime.count() > 0 && failed == 0.0)
        entry.serviceTimes.record(route, response.serviceTime, now);
}

void LoadTracker::recordSize(const RouteName &route, std::size_t bytes)
{
    const auto size = static_cast<double>(bytes);
    const auto [average, isNew] = sizes_.try_emplace(route, size);
    average->second += sizeSmoothing * (size - average->second);
}

// The rate decays with time, since an endpoint that gets no calls could not show that it has
// recovered.
double LoadTracker::decayedFailureRate(const Entry &entry, MonotonicTime now)
{
    const std::chrono::duration<double> age = now - entry.failureRateAt;
    const std::chrono::duration<double> decayTime = failureDecayTime;
    return entry.failureRate * std::exp(-std::max(0.0, age / decayTime));
}

void LoadTracker::recordAbandoned(const NodeId &node, MonotonicTime startedAt)
{
    removeInFlight(entries_[node], startedAt);
}

void LoadTracker::removeInFlight(Entry &entry, MonotonicTime startedAt)
{
    const auto found = std::find(entry.inFlightSince.begin(), entry.inFlightSince.end(), startedAt);
    if (found != entry.inFlightSince.end())
        entry.inFlightSince.erase(found);
}

bool LoadTracker::isUnresponsive(const Entry &entry, MonotonicTime now)
{
    if (entry.inFlightSince.empty())
        return false;
    return now - std::max(entry.inFlightSince.front(), entry.lastResponseAt) > unresponsiveTime;
}

} // namespace boragetrack::traffic::routing
