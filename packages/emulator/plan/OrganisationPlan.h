/** Organisation in a load plan. */
#pragma once

#include <string>

namespace boragetrack::emulator::plan {

/** Describes an organisation that sends a part of the requests of all data centres. */
struct OrganisationPlan
{
    std::string name;
    /** Relative weight of its requests. */
    double weight = 1.0;
};

} // namespace boragetrack::emulator::plan
