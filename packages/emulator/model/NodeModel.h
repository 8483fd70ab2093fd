/** An emulated node. */
#pragma once

#include "emulator/model/InboundProxyModel.h"
#include "emulator/results/LoadResults.h"
#include "traffic/retry/CallPlan.h"

namespace boragetrack::emulator::model {

/** Carries calls as the daemon does: a CallPlan decides, and the gates of nodes take the attempts.
 */
class NodeModel : public CallHandler
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

    /** Dependencies that outlive the node. */
    struct Dependencies
    {
        clock::EventClock &clock;
        const plan::LoadPlan &plan;
        const plan::ServicePlan &service;
        const policies::PolicySet &policies;
        std::mt19937_64 &random;
        Directory &directory;
        results::LoadResults &results;
    };

    NodeModel(const Dependencies &dependencies, std::string dataCentre, double speed);

    void call(const traffic::calls::CallRequest &request, ResponseCallback done) override;

    UpstreamModel &upstream() { return upstream_; }
    InboundProxyModel &inboundProxy() { return inboundProxy_; }
    const std::string &dataCentre() const { return dataCentre_; }
    const plan::ServicePlan &service() const { return dependencies_.service; }

private:
    class Call;

    std::chrono::nanoseconds delayTo(const NodeModel &other) const;

    Dependencies dependencies_;
    std::string dataCentre_;
    UpstreamModel upstream_;
    InboundProxyModel inboundProxy_;
    std::unique_ptr<traffic::routing::RoutingPolicy> routingPolicy_;
    std::unique_ptr<traffic::retry::RetryPolicy> retryPolicy_;
    traffic::routing::LoadTracker loads_;
};

} // namespace boragetrack::emulator::model
