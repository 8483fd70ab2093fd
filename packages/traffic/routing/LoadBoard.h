/** The loads of all endpoints as this node sees them. */
#pragma once

#include "core/identity/NodeId.h"
#include "core/timing/MonotonicTime.h"
#include "traffic/calls/CallAnswer.h"
#include "traffic/routing/EndpointLoad.h"

#include <mutex>
#include <unordered_map>

namespace boragetrack::traffic::routing {

/** Learns loads and failures from the outcomes of calls; shared by all traffic threads. */
class LoadBoard
{
public:
    /** The rest of an endpoint after its first failure in a row; doubles with each further one. */
    static constexpr std::chrono::milliseconds firstRest{200};
    static constexpr std::chrono::milliseconds longestRest{5000};

    /** Returns what is known of an endpoint. */
    EndpointLoad load(const core::identity::NodeId &node, core::timing::MonotonicTime now) const;

    /** Notes that a call to the endpoint begins. */
    void begin(const core::identity::NodeId &node);

    /** Notes how a call to the endpoint ended. */
    void end(const core::identity::NodeId &node, const calls::CallAnswer &answer,
             core::timing::MonotonicTime now);

private:
    struct Entry
    {
        calls::LoadReport reported;
        int ownInFlight = 0;
        int failuresInRow = 0;
        core::timing::MonotonicTime restsUntil{};
        core::timing::MonotonicTime reportedAt{};
    };

    mutable std::mutex mutex_;
    std::unordered_map<core::identity::NodeId, Entry> entries_;
};

} // namespace boragetrack::traffic::routing
