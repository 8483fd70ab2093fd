/** An endpoint that a call may be sent to. */
#pragma once

#include "traffic/routing/Endpoint.h"
#include "traffic/routing/EndpointLoad.h"

namespace boragetrack::traffic::routing {

/** Combines an endpoint with its load; the endpoint must outlive the candidate. */
struct Candidate
{
    const Endpoint *endpoint = nullptr;
    EndpointLoad load;
    /** Whether the endpoint is in the same data centre as the node that chooses. */
    bool isLocal = false;
};

} // namespace boragetrack::traffic::routing
