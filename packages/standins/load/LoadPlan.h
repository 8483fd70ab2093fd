/** What a load generator sends. */
#pragma once

#include "core/identity/NetworkAddress.h"

#include <chrono>
#include <string>
#include <vector>

namespace boragetrack::standins::load {

/** States the targets, the rate and the mix of a load. */
struct LoadPlan
{
    /** Nodes to send to; each connection begins at another one and moves on when it fails. */
    std::vector<core::identity::NetworkAddress> nodes;
    int connections = 16;
    /** Calls a second over all connections. */
    double rate = 200.0;
    std::chrono::milliseconds duration{5000};
    std::chrono::milliseconds timeout{3000};
    /** Targets that are read. */
    std::vector<std::string> readPaths;
    /** Targets that are posted to, with an idempotency key each. */
    std::vector<std::string> postPaths;
    /** Posts per hundred calls. */
    int postPercent = 50;
    /** Bytes of a post's body. */
    std::size_t bodyBytes = 100;
    /** Begins all request ids, so that several generators do not share any. */
    std::string idPrefix = "c";
    /** The file that takes a line for each call. */
    std::string logPath;
    /** Tries for one call through different nodes: after "not run", and after "unknown" with the
        same key. */
    int maximumAttempts = 3;
};

} // namespace boragetrack::standins::load
