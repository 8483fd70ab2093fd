/** The detection of data centres that this node can not reach. */
#pragma once

#include "core/identity/DataCentreId.h"
#include "core/identity/NodeId.h"
#include "core/timing/MonotonicTime.h"

#include <chrono>
#include <set>
#include <unordered_map>

namespace boragetrack::traffic::routing {

/**
    Detects a network partition from another data centre by the failures of few calls.

    Without it, each of many endpoints there would have to be found unreachable by a call of its
    own, which waits until its connection times out. A data centre counts as cut off when two of its
    nodes were silent and none has responded since; it then gets one call per probe interval until a
    node responds.
*/
class DataCentreReachability
{
public:
    /** Receives changes of the reachability of data centres, during the call that records them. */
    class Listener
    {
    public:
        virtual ~Listener() = default;

        /** Handles a data centre that starts to count as cut off. @param silentNodes the number of
            its nodes that did not respond @param waited how long the last call waited for a
            response */
        virtual void dataCentreCutOff(const core::identity::DataCentreId &dataCentre,
                                      std::size_t silentNodes, std::chrono::nanoseconds waited)
                = 0;

        /** Handles the first response from a data centre that counted as cut off. */
        virtual void dataCentreRecovered(const core::identity::DataCentreId &dataCentre) = 0;
    };

    /** The number of silent nodes that distinguishes a partition from the loss of a single VM. */
    static constexpr std::size_t cutOffThreshold = 2;
    /** A failure after less time counts as a refused connection, and one after more as silence. The
        value is just below the connection timeout of the links between nodes. */
    static constexpr std::chrono::milliseconds silenceThreshold{200};
    /** The time between two calls to a data centre that is cut off. It bounds how long a recovery
        goes unnoticed. */
    static constexpr std::chrono::milliseconds probeInterval{300};

    /** Sets the listener. @param listener null for none; must outlive this object */
    void setListener(Listener *listener) { listener_ = listener; }

    /** Records that a call to a node of a data centre starts, which postpones the next probe. */
    void recordAttempt(const core::identity::DataCentreId &dataCentre,
                       core::timing::MonotonicTime now)
    {
        const auto found = outages_.find(dataCentre);
        if (found != outages_.end())
            found->second.nextProbeAt = now + probeInterval;
    }

    /** Records that a node of a data centre responded. */
    void recordResponse(const core::identity::DataCentreId &dataCentre)
    {
        const auto found = outages_.find(dataCentre);
        if (found == outages_.end())
            return;
        const bool wasCutOff = found->second.silentNodes.size() >= cutOffThreshold;
        outages_.erase(found);
        if (wasCutOff && listener_ != nullptr)
            listener_->dataCentreRecovered(dataCentre);
    }

    /** Records that a node could not be reached. @param waited how long the call waited; failures
        after less than silenceThreshold are ignored */
    void recordFailure(const core::identity::DataCentreId &dataCentre,
                       const core::identity::NodeId &node, std::chrono::nanoseconds waited,
                       core::timing::MonotonicTime now)
    {
        if (waited < silenceThreshold)
            return;
        Outage &outage = outages_[dataCentre];
        const bool isNew = outage.silentNodes.insert(node).second;
        outage.nextProbeAt = now + probeInterval;
        if (isNew && outage.silentNodes.size() == cutOffThreshold && listener_ != nullptr)
            listener_->dataCentreCutOff(dataCentre, outage.silentNodes.size(), waited);
    }

    /** Returns whether a data centre is cut off and no probe is due; calls should then go
        elsewhere. */
    bool isCutOff(const core::identity::DataCentreId &dataCentre,
                  core::timing::MonotonicTime now) const
    {
        const auto found = outages_.find(dataCentre);
        return found != outages_.end() && found->second.silentNodes.size() >= cutOffThreshold
               && now < found->second.nextProbeAt;
    }

private:
    struct Outage
    {
        // Invariant: not empty; no node of the data centre has responded since the first entry.
        std::set<core::identity::NodeId> silentNodes;
        core::timing::MonotonicTime nextProbeAt;
    };

    std::unordered_map<core::identity::DataCentreId, Outage> outages_;
    Listener *listener_ = nullptr;
};

} // namespace boragetrack::traffic::routing
