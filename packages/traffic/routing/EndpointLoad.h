/** What a node knows of an endpoint's load. */
#pragma once

#include "traffic/calls/LoadReport.h"

namespace boragetrack::traffic::routing {

/** Joins the load that an endpoint reported last to the calls that this node has under way. */
struct EndpointLoad
{
    calls::LoadReport reported;
    /** Calls from this node that were begun and not ended. */
    int ownInFlight = 0;
    /** Whether calls failed there so lately that the endpoint rests. */
    bool isResting = false;
};

} // namespace boragetrack::traffic::routing
