/** The policies that nodes use. */
#pragma once

#include "emulator/policies/PolicySet.h"

namespace boragetrack::emulator::policies {

/** Routing by the chance of an answer on time, the slots that upstreams announce, order by
   objective and rank, and repeats within a budget. */
class StandardPolicies : public PolicySet
{
public:
    std::string name() const override { return "present"; }
    std::unique_ptr<traffic::routing::RoutingPolicy> makeRouting() const override;
    std::unique_ptr<traffic::retry::RetryPolicy> makeRetry() const override;
    std::unique_ptr<traffic::admission::AdmissionPolicy>
    makeAdmission(const traffic::admission::AdmissionLimits &limits) const override;
    traffic::admission::Arrival adjustArrival(traffic::admission::Arrival arrival) const override;
};

} // namespace boragetrack::emulator::policies
