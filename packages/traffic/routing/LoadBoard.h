/** The loads of all endpoints as this node sees them. */
#pragma once

#include "core/identity/NodeId.h"
#include "core/timing/MonotonicTime.h"
#include "traffic/admission/WorkTable.h"
#include "traffic/calls/CallAnswer.h"
#include "traffic/routing/DataCentreReach.h"
#include "traffic/routing/EndpointLoad.h"

#include <deque>
#include <unordered_map>

namespace boragetrack::traffic::routing {

/** Learns loads, speeds and failures from the outcomes of this node's own calls. */
class LoadBoard
{
public:
    /** The rest of an endpoint after its first failure in a row; doubles with each further one. */
    static constexpr std::chrono::milliseconds firstRest{200};
    static constexpr std::chrono::milliseconds longestRest{5000};

    /** Returns what is known of an endpoint. @param route the route whose work is asked for */
    EndpointLoad load(const core::identity::NodeId &node, const core::identity::RouteName &route,
                      core::timing::MonotonicTime now) const;

    /** Notes that a call to the endpoint begins. */
    void begin(const core::identity::NodeId &node, core::timing::MonotonicTime now);

    /** Notes how a call to the endpoint ended. @param begunAt when it began */
    void end(const core::identity::NodeId &node, const core::identity::RouteName &route,
             const calls::CallAnswer &answer, core::timing::MonotonicTime begunAt,
             core::timing::MonotonicTime now);

    /** Returns which data centres this node reaches. */
    DataCentreReach &reach() { return reach_; }

    /** Notes the size of a call, its request and its answer together. */
    void noteSize(const core::identity::RouteName &route, std::size_t bytes);

    /** Notes that a call was given up by its caller, which says nothing of the endpoint. */
    void abandoned(const core::identity::NodeId &node, core::timing::MonotonicTime begunAt);

private:
    struct Entry
    {
        calls::LoadReport reported;
        core::timing::MonotonicTime reportedAt{};
        int begunSince = 0;
        int failuresInRow = 0;
        core::timing::MonotonicTime restsUntil{};
        double failureShare = 0.0;
        core::timing::MonotonicTime failureShareAt{};
        admission::WorkTable work;
        // Invariant: the beginnings of the calls under way, in their order.
        std::deque<core::timing::MonotonicTime> underWay;
        core::timing::MonotonicTime lastAnswerAt{};
    };

    static void endCall(Entry &entry, core::timing::MonotonicTime begunAt);
    static double fadedFailureShare(const Entry &entry, core::timing::MonotonicTime now);
    static bool isSilent(const Entry &entry, core::timing::MonotonicTime now);

    std::unordered_map<core::identity::NodeId, Entry> entries_;
    DataCentreReach reach_;
    // Smoothed bytes of the calls of each route.
    std::unordered_map<core::identity::RouteName, double> sizes_;
};

} // namespace boragetrack::traffic::routing
