/** Random plans with one or two disturbances at the moment of a change. */
#pragma once

#include "emulator/restarts/PlanSource.h"

#include <random>

namespace boragetrack::emulator::restarts {

/** Draws plans that show how long changes take: at most two disturbances, with changes shortly
    before, at and after them. A follower has no watch pending after a change, so changes often come
    in pairs whose second one meets the disturbance. */
class ChangePlanGenerator : public PlanSource
{
public:
    explicit ChangePlanGenerator(std::uint64_t seed)
        : seed_(seed)
        , random_(seed)
    {}

    RestartPlan draw() override;

private:
    std::chrono::milliseconds drawTime(std::chrono::milliseconds from,
                                       std::chrono::milliseconds to);
    std::set<std::size_t> drawNodes(std::size_t count);
    std::set<std::size_t> drawTwoDataCentres();
    void addDisturbance(std::chrono::milliseconds at);
    void addChanges(std::chrono::milliseconds at);
    void add(RestartFaultKind kind, std::chrono::milliseconds at,
             std::chrono::milliseconds duration, std::set<std::size_t> nodes);

    const std::uint64_t seed_;
    std::mt19937_64 random_;
    RestartPlan plan_;
};

} // namespace boragetrack::emulator::restarts
