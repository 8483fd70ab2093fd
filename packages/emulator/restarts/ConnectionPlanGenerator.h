/** Random plans in which connections fail. */
#pragma once

#include "emulator/restarts/PlanSource.h"

#include <random>

namespace boragetrack::emulator::restarts {

/** Draws plans for a fleet of ten nodes in three data centres: series of connections and links that
    become silent, cuts between nodes, late watches and the store's rejection of followers, with
    changes in quick succession around each. */
class ConnectionPlanGenerator : public PlanSource
{
public:
    explicit ConnectionPlanGenerator(std::uint64_t seed)
        : seed_(seed)
        , random_(seed)
    {}

    RestartPlan draw() override;

private:
    std::chrono::milliseconds drawTime(std::chrono::milliseconds from,
                                       std::chrono::milliseconds to);
    std::set<std::size_t> drawNodes(std::size_t count);
    std::set<std::size_t> drawSomeNodes();
    std::set<std::size_t> drawTwoDataCentres();
    void addFault(std::chrono::milliseconds at);
    void addStoreFault(std::chrono::milliseconds at);
    void addChanges(std::chrono::milliseconds at);
    void add(RestartFaultKind kind, std::chrono::milliseconds at,
             std::chrono::milliseconds duration, std::set<std::size_t> nodes);

    const std::uint64_t seed_;
    std::mt19937_64 random_;
    RestartPlan plan_;
};

} // namespace boragetrack::emulator::restarts
