/** Interface to the sets of policies that simulations compare. */
#pragma once

#include "traffic/admission/AdmissionPolicy.h"
#include "traffic/admission/Arrival.h"
#include "traffic/admission/ObjectiveOrder.h"
#include "traffic/retry/RetryPolicy.h"
#include "traffic/routing/RoutingPolicy.h"

#include <memory>
#include <string>

namespace boragetrack::emulator::policies {

/** Creates the policies of nodes, so that one load plan can be simulated with different ones. */
class PolicySet
{
public:
    virtual ~PolicySet() = default;

    /** Returns the name of the set in the results of bench-load. */
    virtual std::string name() const = 0;

    virtual std::unique_ptr<traffic::routing::RoutingPolicy> makeRouting() const = 0;
    virtual std::unique_ptr<traffic::retry::RetryPolicy> makeRetry() const = 0;
    virtual std::unique_ptr<traffic::admission::AdmissionPolicy>
    makeAdmission(const traffic::admission::AdmissionLimits &limits) const = 0;

    virtual std::unique_ptr<traffic::admission::QueueOrder> makeQueueOrder() const
    {
        return std::make_unique<traffic::admission::ObjectiveOrder>();
    }

    /** Returns the arrival with the rank and objective by which the admission queue orders it. */
    virtual traffic::admission::Arrival
    adjustArrival(traffic::admission::Arrival arrival) const = 0;
};

} // namespace boragetrack::emulator::policies
