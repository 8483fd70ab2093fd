/** A day of load. */
#pragma once

#include "emulator/plan/DataCentrePlan.h"
#include "emulator/plan/KindPlan.h"
#include "emulator/plan/ServicePlan.h"
#include "emulator/plan/TroublePlan.h"

namespace boragetrack::emulator::plan {

/** Describes a deployment and a day on it. */
struct LoadPlan
{
    std::string name;
    std::chrono::milliseconds length{30'000};
    /** One way between nodes of one data centre, and of two. */
    std::chrono::microseconds localTrip{200};
    std::chrono::microseconds remoteTrip{500};
    // Invariant: kinds and troubles name services, kinds and data centres of this plan only.
    std::vector<DataCentrePlan> dataCentres;
    std::vector<ServicePlan> services;
    std::vector<KindPlan> kinds;
    std::vector<TroublePlan> troubles;

    /** Returns a kind by its name, or null. */
    const KindPlan *kind(const std::string &kindName) const;
};

} // namespace boragetrack::emulator::plan
