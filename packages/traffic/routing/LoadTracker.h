/** This node's view of the load and the health of all endpoints. */
#pragma once

#include "core/identity/NodeId.h"
#include "core/timing/MonotonicTime.h"
#include "traffic/admission/ServiceTimeTable.h"
#include "traffic/calls/CallResponse.h"
#include "traffic/routing/DataCentreReachability.h"
#include "traffic/routing/EndpointLoad.h"

#include <deque>
#include <unordered_map>

namespace boragetrack::traffic::routing {

/** Derives load, service times and failures of endpoints from the outcomes of this node's calls. */
class LoadTracker
{
public:
    /** The ejection time after the first failure to reach an endpoint; each further consecutive
        failure doubles it, up to the maximum. */
    static constexpr std::chrono::milliseconds baseEjectionTime{200};
    static constexpr std::chrono::milliseconds maximumEjectionTime{5000};

    /** Returns the load of an endpoint; default values when no call was sent to it yet.
        @param route the route that the service time and the call size are for */
    EndpointLoad load(const core::identity::NodeId &node, const core::identity::RouteName &route,
                      core::timing::MonotonicTime now) const;

    /** Records that a call to an endpoint starts. */
    void recordStart(const core::identity::NodeId &node, const core::identity::RouteName &route,
                     core::timing::MonotonicTime now);

    /** Records the result of a call. @param startedAt the time that was passed to recordStart */
    void recordResponse(const core::identity::NodeId &node, const core::identity::RouteName &route,
                        const calls::CallResponse &response, core::timing::MonotonicTime startedAt,
                        core::timing::MonotonicTime now);

    /** Returns the reachability of data centres, for queries and updates. */
    DataCentreReachability &reachability() { return reachability_; }

    /** Records the size of a completed call. @param bytes request and response together */
    void recordSize(const core::identity::RouteName &route, std::size_t bytes);

    /** Records that a caller disconnected during a call, which does not count against the
        endpoint. */
    void recordAbandoned(const core::identity::NodeId &node, core::timing::MonotonicTime startedAt);

private:
    struct Entry
    {
        calls::LoadReport reported;
        core::timing::MonotonicTime reportedAt{};
        int startedSinceReport = 0;
        int consecutiveFailures = 0;
        core::timing::MonotonicTime ejectedUntil{};
        // The failure rate as of failureRateAt.
        double failureRate = 0.0;
        core::timing::MonotonicTime failureRateAt{};
        admission::ServiceTimeTable serviceTimes;
        // Invariant: the start times of the calls in flight, in ascending order.
        std::deque<core::timing::MonotonicTime> inFlightSince;
        core::timing::MonotonicTime lastResponseAt{};
    };

    static void removeInFlight(Entry &entry, core::timing::MonotonicTime startedAt);
    static double decayedFailureRate(const Entry &entry, core::timing::MonotonicTime now);
    static bool isUnresponsive(const Entry &entry, core::timing::MonotonicTime now);

    std::unordered_map<core::identity::NodeId, Entry> entries_;
    DataCentreReachability reachability_;
    // The average size of the calls of each route, in bytes.
    std::unordered_map<core::identity::RouteName, double> sizes_;
};

} // namespace boragetrack::traffic::routing
