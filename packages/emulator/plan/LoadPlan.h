/** A day of load. */
#pragma once

#include "emulator/plan/DataCentrePlan.h"
#include "emulator/plan/FaultPlan.h"
#include "emulator/plan/KindPlan.h"
#include "emulator/plan/ServicePlan.h"

namespace boragetrack::emulator::plan {

/** Describes a deployment and a day on it. */
struct LoadPlan
{
    std::string name;
    std::chrono::milliseconds duration{30'000};
    /** One way between nodes of one data centre, and of two. */
    std::chrono::microseconds localDelay{200};
    std::chrono::microseconds remoteDelay{500};
    // Invariant: kinds and faults name services, kinds and data centres of this plan only.
    std::vector<DataCentrePlan> dataCentres;
    std::vector<ServicePlan> services;
    std::vector<KindPlan> kinds;
    std::vector<FaultPlan> faults;

    /** Returns a kind by its name, or null. */
    const KindPlan *findKind(const std::string &kindName) const;
};

} // namespace boragetrack::emulator::plan
