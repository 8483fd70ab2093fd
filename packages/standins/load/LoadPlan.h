/** Parameters of a load generator. */
#pragma once

#include "core/identity/NetworkAddress.h"

#include <chrono>
#include <string>
#include <vector>

namespace boragetrack::standins::load {

/** Describes the nodes, the rate and the mix of methods of a load. */
struct LoadPlan
{
    /** Caller addresses of nodes. Connections are distributed over them. After an attempt that is
        not-run or unknown, a connection switches to the next node. */
    std::vector<core::identity::NetworkAddress> nodes;
    /** Number of connections, and the maximum number of concurrent calls. */
    int connections = 16;
    /** Calls per second over all connections. */
    double rate = 200.0;
    /** The period in which calls are scheduled. */
    std::chrono::milliseconds duration{5000};
    /** Timeout of one attempt. */
    std::chrono::milliseconds timeout{3000};
    /** Request targets for GET. */
    std::vector<std::string> readPaths;
    /** Request targets for POST; every request has its own idempotency key. */
    std::vector<std::string> postPaths;
    /** Percentage of POST requests if there are targets for both methods. */
    int postPercent = 50;
    /** Body size of a POST request, in bytes. */
    std::size_t bodyBytes = 100;
    /** Prefix of all request ids, so that ids of several generators differ. */
    std::string idPrefix = "c";
    /** The file to which a line is written for each call. */
    std::string logPath;
    /** Maximum number of attempts for one call, each through the next node. A call is retried, with
        the same key, if its outcome is not-run or unknown. */
    int maximumAttempts = 3;
};

} // namespace boragetrack::standins::load
