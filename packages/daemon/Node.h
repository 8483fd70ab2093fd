/** The node process. */
#pragma once

#include "daemon/environment/NodeEnvironment.h"
#include "daemon/environment/UsableMemory.h"
#include "daemon/frontends/OperatorHandler.h"
#include "daemon/service/ControlService.h"
#include "daemon/service/PeerMessages.h"
#include "daemon/settings/NodeSettings.h"
#include "transport/http/HttpServer.h"
#include "transport/links/TrafficThread.h"

namespace boragetrack::daemon {

/** Owns the components of a node, connects them, and starts and stops them in order. */
class Node
{
public:
    /** @param memory what the budget for calls is derived from */
    Node(settings::NodeSettings settings, environment::UsableMemory memory);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /** Starts all components. @returns the failure of the first listener that cannot start */
    absl::Status start();

    /** Applies the settings that can change in a running node, which are the retry limits; logs
        if identity or addresses changed, which needs a restart. */
    void applySettings(const settings::NodeSettings &changed);

    /** Shuts down gracefully: refuses new calls as not run and finishes those in progress. Blocks
        until then or until the shutdown plan's timeout.
        @returns whether all calls in progress ended in time and all threads were stopped */
    bool stop();

private:
    static control::membership::MemberRecord selfRecord(const settings::NodeSettings &settings);
    std::unique_ptr<environment::NodeEnvironment> makeEnvironment();

    settings::NodeSettings settings_;
    environment::UsableMemory memory_;
    control::membership::MemberRecord self_;
    core::counters::CounterRegistry counters_;
    core::concurrency::Published<traffic::routing::RoutingSnapshot> routing_;
    core::concurrency::Published<traffic::access::StoreContactTime> storeContact_;
    service::RevisionMonitor revisions_;
    service::ControlThread controlThread_;
    std::unique_ptr<traffic::routing::RoutingPolicy> routingPolicy_;
    std::unique_ptr<traffic::retry::RetryPolicy> retryPolicy_;
    std::unique_ptr<environment::NodeEnvironment> environment_;
    service::ControlService control_;
    service::PeerMessages peerMessages_;
    transport::links::TrafficThread trafficThread_;
    frontends::OperatorHandler operatorHandler_;
    transport::http::HttpServer operatorServer_;
};

} // namespace boragetrack::daemon
