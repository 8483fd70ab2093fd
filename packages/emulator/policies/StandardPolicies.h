/** Policies of a daemon with the platform's interface. */
#pragma once

#include "emulator/policies/PolicySet.h"

namespace boragetrack::emulator::policies {

/** Routing by the probability of a response within the objective, concurrency limits from the slots
    that upstreams announce, queueing by objective and priority rank, and retries within a budget.
 */
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
