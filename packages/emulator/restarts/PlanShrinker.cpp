/** Tries one removal at a time and starts over after each that succeeded. */
#include "emulator/restarts/PlanShrinker.h"

#include "emulator/restarts/RestartSimulation.h"

#include <algorithm>

namespace boragetrack::emulator::restarts {

namespace {

bool removeFault(RestartPlan &plan, const PlanCondition &condition)
{
    for (std::size_t i = 0; i < plan.faults.size(); ++i) {
        RestartPlan smaller = plan;
        smaller.faults.erase(smaller.faults.begin() + static_cast<std::ptrdiff_t>(i));
        if (condition(smaller)) {
            plan = smaller;
            return true;
        }
    }
    return false;
}

bool removeNode(RestartPlan &plan, const PlanCondition &condition)
{
    for (std::size_t i = 0; i < plan.faults.size(); ++i) {
        for (const std::size_t node : plan.faults[i].nodes) {
            RestartPlan smaller = plan;
            smaller.faults[i].nodes.erase(node);
            if (!smaller.faults[i].nodes.empty() && condition(smaller)) {
                plan = smaller;
                return true;
            }
        }
    }
    return false;
}

} // namespace

RestartPlan shrink(RestartPlan plan, const PlanCondition &condition)
{
    while (removeFault(plan, condition) || removeNode(plan, condition)) {
    }
    return plan;
}

bool breaksRule(const RestartPlan &plan, const std::string &rule)
{
    const RestartResult result = RestartSimulation(plan, false).run();
    return std::any_of(result.violations.begin(), result.violations.end(),
                       [&](const Violation &violation) { return violation.rule == rule; });
}

} // namespace boragetrack::emulator::restarts
