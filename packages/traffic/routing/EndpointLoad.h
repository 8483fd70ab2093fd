/** What a node knows of an endpoint's load. */
#pragma once

#include "traffic/calls/LoadReport.h"

#include <chrono>

namespace boragetrack::traffic::routing {

/** Joins the load that an endpoint reported last to what this node saw of it since. */
struct EndpointLoad
{
    calls::LoadReport reported;
    /** The age of the report. */
    std::chrono::nanoseconds age{0};
    /** Calls from this node that were begun and not ended. */
    int localInFlight = 0;
    /** Calls from this node that were begun since the report. */
    int startedSinceReport = 0;
    /** The usual time that the upstream works on a call of the route; zero when not known. */
    std::chrono::nanoseconds work{0};
    /** The usual bytes of a call of the route, both ways, wherever it went; zero when not known. */
    std::size_t bytes = 0;
    /** The share of the last calls that failed there, 0 to 1. */
    double failureRate = 0.0;
    /** Whether calls failed there so lately that the endpoint rests. */
    bool isEjected = false;
    /** Whether calls have waited there for an answer far longer than usual and none came. */
    bool isUnresponsive = false;
    /** Whether its whole data centre can not be reached at present. */
    bool isCutOff = false;
};

} // namespace boragetrack::traffic::routing
