/** A day of load on an emulated deployment. */
#pragma once

#include "emulator/model/CallerModel.h"
#include "emulator/model/NodeModel.h"

namespace boragetrack::emulator::day {

/**
    Plays a load plan through the decisions of nodes, without network and processes.

    Links and messages cost only their trips, and every node sees the members at once but for a
    fixed delay, so the figures tell placing, queueing, refusing and repeating apart from each
    other and say nothing of the processor's time. A seed gives the same day each time.
*/
class EmulatedDay : private model::NodeModel::Directory
{
public:
    /** @param plan, policies outlive the day */
    EmulatedDay(const plan::LoadPlan &plan, const policies::PolicySet &policies,
                std::uint64_t seed);
    ~EmulatedDay() override;
    EmulatedDay(const EmulatedDay &) = delete;
    EmulatedDay &operator=(const EmulatedDay &) = delete;

    /** Plays the whole day and returns its account. */
    const account::CreditAccount &play();

private:
    using Nodes = std::vector<std::unique_ptr<model::NodeModel>>;

    std::shared_ptr<const traffic::routing::RoutingSnapshot>
    snapshotFor(const std::string &dataCentre) const override;
    model::NodeModel &node(const core::identity::NodeId &id) override;

    void makeNodes();
    void makeSnapshots();
    std::shared_ptr<const traffic::routing::RoutingSnapshot>
    makeSnapshot(const std::string &dataCentre) const;
    model::CallSink &anyNodeOf(const std::string &dataCentre);
    void arriveLater(std::size_t dataCentre);
    void arrive(std::size_t dataCentre);
    double rateOf(const plan::DataCentrePlan &dataCentre) const;
    const plan::KindPlan &drawKind(const plan::DataCentrePlan &dataCentre);

    void plan(const plan::TroublePlan &trouble);
    void begin(const plan::TroublePlan &trouble);
    void end(const plan::TroublePlan &trouble);
    std::vector<model::NodeModel *> concerned(const plan::TroublePlan &trouble);

    const plan::LoadPlan &plan_;
    const policies::PolicySet &policies_;
    std::mt19937_64 random_;
    clock::EventClock clock_;
    account::CreditAccount account_;
    // Invariant: the id of a node is its index.
    Nodes nodes_;
    // Invariant: one element for each data centre, in the plan's order.
    std::vector<std::unique_ptr<model::CallerModel>> callers_;
    std::map<std::string, std::shared_ptr<const traffic::routing::RoutingSnapshot>> snapshots_;
    // The troubles of callers that hold now.
    std::vector<const plan::TroublePlan *> ofCallers_;
};

} // namespace boragetrack::emulator::day
