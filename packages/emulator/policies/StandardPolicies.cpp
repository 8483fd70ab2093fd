/** Uses the retry limits of the platform's interface: a reserve of 50 retries per window that all
    nodes share, halved like the rest of the retry budget. */
#include "emulator/policies/StandardPolicies.h"

#include "traffic/admission/FixedConcurrency.h"
#include "traffic/retry/BudgetedRetry.h"
#include "traffic/routing/OnTimeRouting.h"

namespace boragetrack::emulator::policies {

namespace {

// Half of the budget is left for the nested calls of retries, which count as retries as well.
traffic::retry::RetryLimits sharedBudget()
{
    traffic::retry::RetryLimits limits;
    limits.budgetFraction = 0.5;
    limits.reserve = 50.0 * limits.budgetFraction;
    limits.isReserveShared = true;
    return limits;
}

} // namespace

std::unique_ptr<traffic::routing::RoutingPolicy> StandardPolicies::makeRouting() const
{
    return std::make_unique<traffic::routing::OnTimeRouting>();
}

std::unique_ptr<traffic::retry::RetryPolicy> StandardPolicies::makeRetry() const
{
    return std::make_unique<traffic::retry::BudgetedRetry>(sharedBudget());
}

std::unique_ptr<traffic::admission::AdmissionPolicy>
StandardPolicies::makeAdmission(const traffic::admission::AdmissionLimits &limits) const
{
    return std::make_unique<traffic::admission::FixedConcurrency>(limits);
}

traffic::admission::Arrival
StandardPolicies::adjustArrival(traffic::admission::Arrival arrival) const
{
    return arrival;
}

} // namespace boragetrack::emulator::policies
