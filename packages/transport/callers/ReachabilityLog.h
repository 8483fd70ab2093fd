/** Logs changes in the reachability of other data centres. */
#pragma once

#include "core/events/EventLog.h"
#include "traffic/routing/DataCentreReachability.h"

namespace boragetrack::transport::callers {

/** Writes a log event when this node's calls find a data centre unreachable or reachable again. */
class ReachabilityLog : public traffic::routing::DataCentreReachability::Listener
{
public:
    void dataCentreCutOff(const core::identity::DataCentreId &dataCentre, std::size_t silentNodes,
                          std::chrono::nanoseconds waited) override
    {
        using std::chrono::milliseconds;
        core::events::logEvent(
                core::events::EventCode::DataCentreCutOff, "data centre unreachable",
                {{"dataCentre", dataCentre.value()},
                 {"silentNodes", std::to_string(silentNodes)},
                 {"waitedMs",
                  std::to_string(std::chrono::duration_cast<milliseconds>(waited).count())}});
    }

    void dataCentreRecovered(const core::identity::DataCentreId &dataCentre) override
    {
        core::events::logEvent(core::events::EventCode::DataCentreAnswered,
                               "data centre reachable again", {{"dataCentre", dataCentre.value()}});
    }
};

} // namespace boragetrack::transport::callers
