/** Simulation of a load plan on a whole deployment. */
#pragma once

#include "emulator/model/CallerModel.h"
#include "emulator/model/NodeModel.h"

namespace boragetrack::emulator::simulation {

/**
    Simulates a load plan with the decisions of nodes, without sockets and processes.

    A message costs only its network delay, and all nodes see a change of membership after the same
    fixed delay. The results compare routing, queueing, admission and retries; they do not
    include processor time. The same plan, policies and seed give the same results.
*/
class LoadSimulation : private model::NodeModel::Directory
{
public:
    /** @param plan, policies must outlive the simulation */
    LoadSimulation(const plan::LoadPlan &plan, const policies::PolicySet &policies,
                   std::uint64_t seed);
    ~LoadSimulation() override;
    LoadSimulation(const LoadSimulation &) = delete;
    LoadSimulation &operator=(const LoadSimulation &) = delete;

    /** Runs the whole simulation and returns its results. May be called once. */
    const results::LoadResults &run();

private:
    using Nodes = std::vector<std::unique_ptr<model::NodeModel>>;

    std::shared_ptr<const traffic::routing::RoutingSnapshot>
    snapshotFor(const std::string &dataCentre) const override;
    model::NodeModel &node(const core::identity::NodeId &id) override;

    void makeNodes();
    void makeSnapshots();
    std::shared_ptr<const traffic::routing::RoutingSnapshot>
    makeSnapshot(const std::string &dataCentre) const;
    model::CallHandler &randomNodeIn(const std::string &dataCentre);
    void scheduleArrival(std::size_t dataCentre);
    void generateRequest(std::size_t dataCentre);
    double currentRate(const plan::DataCentrePlan &dataCentre) const;
    const plan::KindPlan &drawKind(const plan::DataCentrePlan &dataCentre);
    core::identity::OrganisationName drawOrganisation();

    void scheduleFault(const plan::FaultPlan &fault);
    void beginFault(const plan::FaultPlan &fault);
    void endFault(const plan::FaultPlan &fault);
    std::vector<model::NodeModel *> affectedNodes(const plan::FaultPlan &fault);

    const plan::LoadPlan &plan_;
    const policies::PolicySet &policies_;
    std::mt19937_64 random_;
    clock::EventClock clock_;
    results::LoadResults results_;
    // Invariant: the id of a node is its index as decimal text.
    Nodes nodes_;
    // Invariant: one element for each data centre, in the plan's order.
    std::vector<std::unique_ptr<model::CallerModel>> callers_;
    std::map<std::string, std::shared_ptr<const traffic::routing::RoutingSnapshot>> snapshots_;
    // Active faults that change the behaviour of callers.
    std::vector<const plan::FaultPlan *> activeCallerFaults_;
};

} // namespace boragetrack::emulator::simulation
