/** Reduction of restart plans that break a guarantee. */
#pragma once

#include "emulator/restarts/RestartPlan.h"

#include <functional>
#include <string>

namespace boragetrack::emulator::restarts {

/** Returns whether a run of a plan breaks what is examined. */
using PlanCondition = std::function<bool(const RestartPlan &)>;

/** Removes events and affected nodes from a plan for as long as it still meets a condition.
    @param plan a plan that meets the condition
    @returns a plan of which no single event and no single affected node can be left out */
RestartPlan shrink(RestartPlan plan, const PlanCondition &condition);

/** Returns whether a simulation of a plan violates a guarantee.
    @param rule a name in RestartRules */
bool breaksRule(const RestartPlan &plan, const std::string &rule);

} // namespace boragetrack::emulator::restarts
