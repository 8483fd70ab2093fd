/** The decisions that an emulated deployment takes. */
#pragma once

#include "traffic/admission/AdmissionPolicy.h"
#include "traffic/admission/Arrival.h"
#include "traffic/retry/RetryPolicy.h"
#include "traffic/routing/RoutingPolicy.h"

#include <memory>
#include <string>

namespace boragetrack::emulator::policies {

/** Makes the policies of nodes, so that one day can be played with different ones. */
class PolicySet
{
public:
    virtual ~PolicySet() = default;

    /** Returns the name under which figures are reported. */
    virtual std::string name() const = 0;

    virtual std::unique_ptr<traffic::routing::RoutingPolicy> makeRouting() const = 0;
    virtual std::unique_ptr<traffic::retry::RetryPolicy> makeRetry() const = 0;
    virtual std::unique_ptr<traffic::admission::AdmissionPolicy>
    makeAdmission(const traffic::admission::AdmissionLimits &limits) const = 0;

    /** Returns the arrival as the queue beside the upstream sees it. */
    virtual traffic::admission::Arrival
    adjustArrival(traffic::admission::Arrival arrival) const = 0;
};

} // namespace boragetrack::emulator::policies
