/** Where restart plans come from. */
#pragma once

#include "emulator/restarts/RestartPlan.h"

namespace boragetrack::emulator::restarts {

/** Draws one plan. The same seed gives the same plan. */
class PlanSource
{
public:
    virtual ~PlanSource() = default;

    /** Returns the plan of the seed. May be called once. */
    virtual RestartPlan draw() = 0;
};

} // namespace boragetrack::emulator::restarts
