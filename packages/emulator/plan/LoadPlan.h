/** Input of a load simulation. */
#pragma once

#include "emulator/plan/DataCentrePlan.h"
#include "emulator/plan/FaultPlan.h"
#include "emulator/plan/KindPlan.h"
#include "emulator/plan/OrganisationPlan.h"
#include "emulator/plan/ServicePlan.h"

namespace boragetrack::emulator::plan {

/** Describes a deployment, its load and the faults that happen to it. */
struct LoadPlan
{
    std::string name;
    std::chrono::milliseconds duration{30'000};
    /** One-way network delay between nodes of the same data centre, and of different ones. */
    std::chrono::microseconds localDelay{200};
    std::chrono::microseconds remoteDelay{500};
    // Invariant: mixes, kinds and faults name only services, kinds and data centres of this plan.
    std::vector<DataCentrePlan> dataCentres;
    std::vector<ServicePlan> services;
    std::vector<KindPlan> kinds;
    std::vector<FaultPlan> faults;
    /** The organisations that requests belong to; requests belong to none if there are none. */
    std::vector<OrganisationPlan> organisations;

    /** Returns the kind with a name, or null. The pointer is valid as long as `kinds` is unchanged.
     */
    const KindPlan *findKind(const std::string &kindName) const;
};

} // namespace boragetrack::emulator::plan
