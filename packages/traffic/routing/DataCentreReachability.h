/** Which data centres a node reaches. */
#pragma once

#include "core/identity/DataCentreId.h"
#include "core/identity/NodeId.h"
#include "core/timing/MonotonicTime.h"

#include <chrono>
#include <set>
#include <unordered_map>

namespace boragetrack::traffic::routing {

/**
    Notices from a few calls that another data centre is cut off.

    Meant for cuts, when each of many endpoints there would otherwise have to be found silent by a
    call of its own, which waits for its connection to time out. Once two nodes of a data centre
   were silent and none answered, it gets one call for each trial period until one is answered.
*/
class DataCentreReachability
{
public:
    /** Receives what is believed of data centres. */
    class Listener
    {
    public:
        virtual ~Listener() = default;

        /** Handles that a data centre is taken for cut off. @param silentNodes its nodes that were
            silent @param waited how long the last call waited for one */
        virtual void dataCentreCutOff(const core::identity::DataCentreId &dataCentre,
                                      std::size_t silentNodes, std::chrono::nanoseconds waited)
                = 0;

        /** Handles that a data centre that was cut off answered again. */
        virtual void dataCentreRecovered(const core::identity::DataCentreId &dataCentre) = 0;
    };

    /** Silent nodes in a row that tell a cut from a single lost VM. */
    static constexpr std::size_t cutOffThreshold = 2;
    /** A connection that is refused fails at once; one that fails after this time met silence. It
       is just below the time in which links connect. */
    static constexpr std::chrono::milliseconds silenceThreshold{200};
    /** The time between two calls that try a silent data centre: the delay after a cut has healed.
     */
    static constexpr std::chrono::milliseconds probeInterval{300};

    /** Sets who hears of changes, or nobody. @param listener outlives this object */
    void setListener(Listener *listener) { listener_ = listener; }

    /** Notes that a call to a node of a data centre begins. */
    void recordAttempt(const core::identity::DataCentreId &dataCentre,
                       core::timing::MonotonicTime now)
    {
        const auto found = cases_.find(dataCentre);
        if (found != cases_.end())
            found->second.nextTrialAt = now + probeInterval;
    }

    /** Notes that a node answered. */
    void recordResponse(const core::identity::DataCentreId &dataCentre)
    {
        const auto found = cases_.find(dataCentre);
        if (found == cases_.end())
            return;
        const bool wasCutOff = found->second.silentNodes.size() >= cutOffThreshold;
        cases_.erase(found);
        if (wasCutOff && listener_ != nullptr)
            listener_->dataCentreRecovered(dataCentre);
    }

    /** Notes that a node could not be reached. @param waited how long that took to show */
    void recordFailure(const core::identity::DataCentreId &dataCentre,
                       const core::identity::NodeId &node, std::chrono::nanoseconds waited,
                       core::timing::MonotonicTime now)
    {
        if (waited < silenceThreshold)
            return;
        Case &held = cases_[dataCentre];
        const bool isNew = held.silentNodes.insert(node).second;
        held.nextTrialAt = now + probeInterval;
        if (isNew && held.silentNodes.size() == cutOffThreshold && listener_ != nullptr)
            listener_->dataCentreCutOff(dataCentre, held.silentNodes.size(), waited);
    }

    /** Returns whether a call should go elsewhere if it can. */
    bool isCutOff(const core::identity::DataCentreId &dataCentre,
                  core::timing::MonotonicTime now) const
    {
        const auto found = cases_.find(dataCentre);
        return found != cases_.end() && found->second.silentNodes.size() >= cutOffThreshold
               && now < found->second.nextTrialAt;
    }

private:
    struct Case
    {
        // Invariant: not empty; none of its data centre has answered since the first.
        std::set<core::identity::NodeId> silentNodes;
        core::timing::MonotonicTime nextTrialAt;
    };

    std::unordered_map<core::identity::DataCentreId, Case> cases_;
    Listener *listener_ = nullptr;
};

} // namespace boragetrack::traffic::routing
