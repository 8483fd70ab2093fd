/** Implements PresentPolicies. */
#include "emulator/policies/PresentPolicies.h"

#include "traffic/admission/FixedConcurrency.h"
#include "traffic/retry/BudgetedRetry.h"
#include "traffic/routing/OnTimeRouting.h"

namespace boragetrack::emulator::policies {

namespace {

// The figures that the daemon takes from its settings where a reserve is shared by all nodes.
traffic::retry::RetryLimits sharedBudget()
{
    traffic::retry::RetryLimits limits;
    limits.budgetFraction = 0.5;
    limits.reserve = 50.0 * limits.budgetFraction;
    limits.isReserveShared = true;
    return limits;
}

} // namespace

std::unique_ptr<traffic::routing::RoutingPolicy> PresentPolicies::makeRouting() const
{
    return std::make_unique<traffic::routing::OnTimeRouting>();
}

std::unique_ptr<traffic::retry::RetryPolicy> PresentPolicies::makeRetry() const
{
    return std::make_unique<traffic::retry::BudgetedRetry>(sharedBudget());
}

std::unique_ptr<traffic::admission::AdmissionPolicy>
PresentPolicies::makeAdmission(const traffic::admission::AdmissionLimits &limits) const
{
    return std::make_unique<traffic::admission::FixedConcurrency>(limits);
}

traffic::admission::Arrival PresentPolicies::ordered(traffic::admission::Arrival arrival) const
{
    return arrival;
}

} // namespace boragetrack::emulator::policies
