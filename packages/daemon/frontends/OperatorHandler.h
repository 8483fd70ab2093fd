/** Takes operators' requests and the upstream's announcements. */
#pragma once

#include "core/counters/CounterRegistry.h"
#include "daemon/service/ControlService.h"
#include "daemon/service/RevisionMonitor.h"
#include "transport/http/HttpHandler.h"

namespace boragetrack::daemon::frontends {

/** Serves health, metrics, status, members and moves, and takes announcements. */
class OperatorHandler : public transport::http::HttpHandler
{
public:
    /** What the handler works with; all references outlive it. */
    struct Dependencies
    {
        const settings::NodeSettings &settings;
        service::ControlService &control;
        service::RevisionMonitor &revisions;
        const core::concurrency::Published<traffic::routing::RoutingSnapshot> &routing;
        const core::counters::CounterRegistry &counters;
    };

    explicit OperatorHandler(Dependencies parts)
        : dependencies_(parts)
    {}

    transport::http::HttpResponse handle(const transport::http::HttpRequest &request) override;

private:
    transport::http::HttpResponse health() const;
    transport::http::HttpResponse status(const transport::http::HttpRequest &request);
    transport::http::HttpResponse announce(const transport::http::HttpRequest &request);
    bool isAuthorised(const transport::http::HttpRequest &request) const;

    Dependencies dependencies_;
};

} // namespace boragetrack::daemon::frontends
