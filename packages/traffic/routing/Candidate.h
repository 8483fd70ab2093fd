/** An endpoint that may take a call, with its load. */
#pragma once

#include "traffic/routing/Endpoint.h"
#include "traffic/routing/EndpointLoad.h"

namespace boragetrack::traffic::routing {

/** Joins an endpoint to its load; the endpoint outlives the candidate. */
struct Candidate
{
    const Endpoint *endpoint = nullptr;
    EndpointLoad load;
    /** Whether the endpoint is in the choosing node's data centre. */
    bool isLocal = false;
};

} // namespace boragetrack::traffic::routing
