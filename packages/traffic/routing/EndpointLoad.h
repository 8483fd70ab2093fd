/** The load of an endpoint, as the node that chooses knows it. */
#pragma once

#include "traffic/admission/ServiceTimeEstimate.h"
#include "traffic/calls/LoadReport.h"

#include <chrono>

namespace boragetrack::traffic::routing {

/** Combines an endpoint's last load report with this node's own observations. */
struct EndpointLoad
{
    calls::LoadReport reported;
    /** The age of the report. */
    std::chrono::nanoseconds age{0};
    /** This node's calls in flight to the endpoint. */
    int localInFlight = 0;
    /** This node's calls that started since the report. */
    int startedSinceReport = 0;
    /** The service time of the route at this endpoint. */
    admission::ServiceTimeEstimate serviceTime;
    /** The average size of a call of the route at any endpoint, request and response together, in
        bytes; zero when not known. */
    std::size_t bytes = 0;
    /** The recent fraction of calls that failed at the upstream, 0 to 1. */
    double failureRate = 0.0;
    /** Whether the endpoint is ejected because its node was unreachable. */
    bool isEjected = false;
    /** Whether calls are in flight and the endpoint has not responded to any for long. */
    bool isUnresponsive = false;
    /** Whether the endpoint's data centre is cut off from this node. */
    bool isCutOff = false;
};

} // namespace boragetrack::traffic::routing
