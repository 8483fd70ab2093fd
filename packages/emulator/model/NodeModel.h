/** Model of a node with its upstream. */
#pragma once

#include "emulator/model/InboundProxyModel.h"
#include "emulator/results/LoadResults.h"
#include "traffic/retry/CallPlan.h"

namespace boragetrack::emulator::model {

/** Handles calls as the daemon does: a CallPlan chooses the attempts, which are sent to the inbound
    proxies of nodes. */
class NodeModel : public CallHandler
{
public:
    /** Gives a node access to the rest of the deployment. */
    class Directory
    {
    public:
        virtual ~Directory() = default;

        /** Returns the current routing snapshot of a data centre's nodes. */
        virtual std::shared_ptr<const traffic::routing::RoutingSnapshot>
        snapshotFor(const std::string &dataCentre) const = 0;

        /** Returns a node by its id. @throws std::out_of_range when it is unknown */
        virtual NodeModel &node(const core::identity::NodeId &id) = 0;
    };

    /** Referenced objects must outlive the model. */
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

    /** @param speed relative speed of the upstream; 2 is twice as fast as 1 */
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
