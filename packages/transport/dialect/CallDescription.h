/** The metadata of a caller's request, read from its headers. */
#pragma once

#include "core/identity/IdempotencyKey.h"

#include <chrono>
#include <optional>
#include <string>

namespace boragetrack::transport::dialect {

/** Holds what routing, retries and the log need to know of a request. */
struct CallDescription
{
    /** The caller's identifier of the request; empty when there is none. */
    std::string requestId;
    /** The host to match routes by, without a port; empty when the dialect does not use hosts. */
    std::string host;
    /** The caller's remaining time budget; nothing when it sends none. */
    std::optional<std::chrono::milliseconds> timeLeft;
    core::identity::IdempotencyKey key;
    /** Whether the method alone allows the call to run more than once. */
    bool hasSafeMethod = false;
    /** The identifier of the request that this call may be nested in; empty when unknown. */
    std::string parentId;
    /** The depth of nesting, counting this call; zero when the dialect does not carry it. */
    int hops = 0;
    /** 1 for a first attempt; higher when this call belongs to a retry. */
    int attempt = 1;
};

} // namespace boragetrack::transport::dialect
