/**
    Module transport: encodes and carries messages.

    It uses HTTP towards callers, operators, upstreams and the platform, and Cap'n Proto RPC between
    nodes. It carries out the decisions of control and traffic; no other module depends on how a
    message is encoded.

    Dependencies: core, control, traffic, ulfius, Cap'n Proto with kj-http.
*/
#pragma once

#include "transport/http/HttpClient.h"
#include "transport/http/HttpServer.h"
#include "transport/links/TrafficThread.h"
#include "transport/serving/InboundProxy.h"
