/** Policies that serve as the baseline of comparisons. */
#pragma once

#include "emulator/policies/PolicySet.h"
#include "traffic/admission/FixedConcurrency.h"
#include "traffic/retry/PlainRetry.h"
#include "traffic/routing/RoundRobinRouting.h"

namespace boragetrack::emulator::policies {

/** Round-robin routing, a fixed concurrency limit, a first-come first-served queue, and retries
    without a budget. */
class BaselinePolicies : public PolicySet
{
public:
    std::string name() const override { return "baseline"; }
    std::unique_ptr<traffic::routing::RoutingPolicy> makeRouting() const override
    {
        return std::make_unique<traffic::routing::RoundRobinRouting>();
    }
    std::unique_ptr<traffic::retry::RetryPolicy> makeRetry() const override
    {
        return std::make_unique<traffic::retry::PlainRetry>();
    }
    std::unique_ptr<traffic::admission::AdmissionPolicy>
    makeAdmission(const traffic::admission::AdmissionLimits &limits) const override
    {
        return std::make_unique<traffic::admission::FixedConcurrency>(limits);
    }
    traffic::admission::Arrival adjustArrival(traffic::admission::Arrival arrival) const override
    {
        arrival.rank = 1;
        arrival.objective = arrival.deadline;
        arrival.organisation = {};
        return arrival;
    }
};

} // namespace boragetrack::emulator::policies
