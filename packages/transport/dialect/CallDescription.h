/** What a caller says of its request. */
#pragma once

#include "core/identity/IdempotencyKey.h"

#include <chrono>
#include <optional>
#include <string>

namespace boragetrack::transport::dialect {

/** Holds the parts of a request that are not forwarded as they are. */
struct CallDescription
{
    /** The caller's own name for the request; empty without one. */
    std::string requestId;
    /** The host that selects among routes, without a port; empty when hosts play no part. */
    std::string host;
    /** How long the caller waits; nothing when it does not say. */
    std::optional<std::chrono::milliseconds> timeLeft;
    core::identity::IdempotencyKey key;
    /** Whether the method alone allows the call to run more than once. */
    bool hasSafeMethod = false;
    /** The request that this one may be nested in, by that one's id; empty when it does not say. */
    std::string parentId;
    /** Calls that this one is nested in. */
    int hops = 0;
    /** One for a first attempt; higher for calls that belong to a repeat. */
    int attempt = 1;
};

} // namespace boragetrack::transport::dialect
