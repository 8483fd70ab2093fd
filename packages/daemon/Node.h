/** A node as a whole. */
#pragma once

#include "daemon/environment/NodeEnvironment.h"
#include "daemon/frontends/OperatorHandler.h"
#include "daemon/service/ControlService.h"
#include "daemon/settings/NodeSettings.h"
#include "transport/http/HttpServer.h"
#include "transport/links/TrafficThread.h"

namespace boragetrack::daemon {

/** Joins all parts of a node and owns their order of start and stop. */
class Node
{
public:
    explicit Node(settings::NodeSettings settings);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /** Starts all parts. @returns the first listener's failure */
    absl::Status start();

    /** Takes what can change in a running node; logs when the rest needs a restart. */
    void applySettings(const settings::NodeSettings &changed);

    /** Stops gracefully: new work is refused as not run, work under way is finished.
        @returns whether all work under way was finished in time */
    bool stop();

private:
    static control::membership::MemberRecord selfRecord(const settings::NodeSettings &settings);
    std::unique_ptr<environment::NodeEnvironment> makeEnvironment();

    settings::NodeSettings settings_;
    control::membership::MemberRecord self_;
    core::counters::CounterRegistry counters_;
    core::concurrency::Published<traffic::routing::RoutingSnapshot> routing_;
    service::RevisionMonitor revisions_;
    service::ControlThread controlThread_;
    std::unique_ptr<traffic::routing::RoutingPolicy> routingPolicy_;
    std::unique_ptr<traffic::retry::RetryPolicy> retryPolicy_;
    std::unique_ptr<environment::NodeEnvironment> environment_;
    service::ControlService control_;
    transport::links::TrafficThread links_;
    frontends::OperatorHandler operatorHandler_;
    transport::http::HttpServer operatorServer_;
};

} // namespace boragetrack::daemon
