/** The loads of all endpoints as this node sees them. */
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

/** Learns loads, speeds and failures from the outcomes of this node's own calls. */
class LoadTracker
{
public:
    /** The rest of an endpoint after its first failure in a row; doubles with each further one. */
    static constexpr std::chrono::milliseconds baseEjectionTime{200};
    static constexpr std::chrono::milliseconds maximumEjectionTime{5000};

    /** Returns what is known of an endpoint. @param route the route whose work is asked for */
    EndpointLoad load(const core::identity::NodeId &node, const core::identity::RouteName &route,
                      core::timing::MonotonicTime now) const;

    /** Notes that a call to the endpoint begins. */
    void recordStart(const core::identity::NodeId &node, core::timing::MonotonicTime now);

    /** Notes how a call to the endpoint ended. @param begunAt when it began */
    void recordResponse(const core::identity::NodeId &node, const core::identity::RouteName &route,
                        const calls::CallResponse &answer, core::timing::MonotonicTime begunAt,
                        core::timing::MonotonicTime now);

    /** Returns which data centres this node reaches. */
    DataCentreReachability &reachability() { return reach_; }

    /** Notes the size of a call, its request and its answer together. */
    void recordSize(const core::identity::RouteName &route, std::size_t bytes);

    /** Notes that a call was given up by its caller, which says nothing of the endpoint. */
    void recordAbandoned(const core::identity::NodeId &node, core::timing::MonotonicTime begunAt);

private:
    struct Entry
    {
        calls::LoadReport reported;
        core::timing::MonotonicTime reportedAt{};
        int startedSinceReport = 0;
        int failuresInRow = 0;
        core::timing::MonotonicTime restsUntil{};
        double failureRate = 0.0;
        core::timing::MonotonicTime failureShareAt{};
        admission::ServiceTimeTable work;
        // Invariant: the beginnings of the calls under way, in their order.
        std::deque<core::timing::MonotonicTime> underWay;
        core::timing::MonotonicTime lastAnswerAt{};
    };

    static void endCall(Entry &entry, core::timing::MonotonicTime begunAt);
    static double fadedFailureShare(const Entry &entry, core::timing::MonotonicTime now);
    static bool isUnresponsive(const Entry &entry, core::timing::MonotonicTime now);

    std::unordered_map<core::identity::NodeId, Entry> entries_;
    DataCentreReachability reach_;
    // Smoothed bytes of the calls of each route.
    std::unordered_map<core::identity::RouteName, double> sizes_;
};

} // namespace boragetrack::traffic::routing
