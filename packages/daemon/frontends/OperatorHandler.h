/** HTTP requests of operators and announcements of the upstream. */
#pragma once

#include "core/counters/CounterRegistry.h"
#include "daemon/service/ControlService.h"
#include "daemon/service/RevisionMonitor.h"
#include "transport/http/HttpHandler.h"

namespace boragetrack::daemon::frontends {

/** Responds to requests for health, metrics, status, members, moves and usage reports, and accepts
    announcements.
    Called concurrently on the threads of the HTTP server. */
class OperatorHandler : public transport::http::HttpHandler
{
public:
    /** Settings and collaborators of the handler; all references outlive it. */
    struct Dependencies
    {
        const settings::NodeSettings &settings;
        service::ControlService &control;
        service::RevisionMonitor &revisions;
        const core::concurrency::Published<traffic::routing::RoutingSnapshot> &routing;
        const core::counters::CounterRegistry &counters;
    };

    explicit OperatorHandler(Dependencies dependencies)
        : dependencies_(dependencies)
    {}

    transport::http::HttpResponse handle(const transport::http::HttpRequest &request) override;

private:
    transport::http::HttpResponse health() const;
    transport::http::HttpResponse status(const transport::http::HttpRequest &request);
    transport::http::HttpResponse usage();
    transport::http::HttpResponse announce(const transport::http::HttpRequest &request);
    bool isAuthorised(const transport::http::HttpRequest &request) const;

    Dependencies dependencies_;
};

} // namespace boragetrack::daemon::frontends
