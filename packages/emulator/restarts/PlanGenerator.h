/** Random restart plans. */
#pragma once

#include "emulator/restarts/PlanSource.h"

#include <random>

namespace boragetrack::emulator::restarts {

/** Draws restart plans: kills and planned stops of few to all nodes, mostly around an outage of the
    store, beside cuts, changes, moves and departures. The same seed gives the same plan. */
class PlanGenerator : public PlanSource
{
public:
    explicit PlanGenerator(std::uint64_t seed)
        : seed_(seed)
        , random_(seed)
    {}

    RestartPlan draw() override;

private:
    std::chrono::milliseconds drawTime(std::chrono::milliseconds from,
                                       std::chrono::milliseconds to);
    bool drawChance(double probability);
    std::set<std::size_t> drawNodes(double share);
    std::set<std::size_t> drawDataCentre();
    void addOutage(std::chrono::milliseconds at);
    void addRejection(std::chrono::milliseconds at);
    void addRestarts(std::chrono::milliseconds at);
    void add(RestartFaultKind kind, std::chrono::milliseconds at,
             std::chrono::milliseconds duration, std::set<std::size_t> nodes);

    const std::uint64_t seed_;
    std::mt19937_64 random_;
    RestartPlan plan_;
};

} // namespace boragetrack::emulator::restarts
