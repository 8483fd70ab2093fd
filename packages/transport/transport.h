/**
    Module transport: how messages travel.

    It speaks HTTP to callers, operators, upstreams and the platform, and Cap'n Proto RPC between
    nodes. It executes what control and traffic decide; nothing outside this module knows how a
    message is encoded.

    Dependencies: core, control, traffic, ulfius, Cap'n Proto with kj-http.
*/
#pragma once

#include "transport/http/HttpClient.h"
#include "transport/http/HttpServer.h"
#include "transport/links/TrafficThread.h"
#include "transport/serving/InboundProxy.h"
