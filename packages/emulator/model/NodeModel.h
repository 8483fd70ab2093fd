/** An emulated node. */
#pragma once

#include "emulator/account/CreditAccount.h"
#include "emulator/model/GateModel.h"
#include "traffic/retry/CallPlan.h"

namespace boragetrack::emulator::model {

/** Carries calls as the daemon does: a CallPlan decides, and the gates of nodes take the attempts.
 */
class NodeModel : public CallSink
{
public:
    /** Finds what a node needs of the deployment. */
    class Directory
    {
    public:
        virtual ~Directory() = default;

        /** Returns what a data centre's nodes route by. */
        virtual std::shared_ptr<const traffic::routing::RoutingSnapshot>
        snapshotFor(const std::string &dataCentre) const = 0;

        /** Returns a node. */
        virtual NodeModel &node(const core::identity::NodeId &id) = 0;
    };

    /** Parts that outlive the node. */
    struct Parts
    {
        clock::EventClock &clock;
        const plan::LoadPlan &plan;
        const plan::ServicePlan &service;
        const policies::PolicySet &policies;
        std::mt19937_64 &random;
        Directory &directory;
        account::CreditAccount &account;
    };

    NodeModel(const Parts &parts, std::string dataCentre, double speed);

    void call(const traffic::calls::CallRequest &request, AnswerSink done) override;

    UpstreamModel &upstream() { return upstream_; }
    GateModel &gate() { return gate_; }
    const std::string &dataCentre() const { return dataCentre_; }
    const plan::ServicePlan &service() const { return parts_.service; }

private:
    class Call;

    std::chrono::nanoseconds tripTo(const NodeModel &other) const;

    Parts parts_;
    std::string dataCentre_;
    UpstreamModel upstream_;
    GateModel gate_;
    std::unique_ptr<traffic::routing::RoutingPolicy> routing_;
    std::unique_ptr<traffic::retry::RetryPolicy> retries_;
    traffic::routing::LoadTracker loads_;
};

} // namespace boragetrack::emulator::model
