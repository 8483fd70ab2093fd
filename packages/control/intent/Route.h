/** A route's entry in the intent. */
#pragma once

#include "control/intent/WeightedService.h"
#include "core/identity/RouteName.h"
#include "core/identity/ServiceName.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace boragetrack::control::intent {

/** Assigns requests whose path starts with a prefix to a service. */
struct Route
{
    core::identity::RouteName name;
    /** The host of the requests, without a port; empty for any host. */
    std::string host;
    std::string pathPrefix;
    core::identity::ServiceName service;
    /** Divides the calls among several services; if empty, all calls go to the service above. */
    std::vector<WeightedService> split;
    /** Whether all requests of this route are idempotent and may run more than once. */
    bool isIdempotent = false;
    /** Whether requests of this route need no key. */
    bool isPublic = false;
    /** The priority under overload; 0 is the most urgent. */
    int priority = 0;
    /** The response time within which a response has its full value for the caller; zero when not
        specified. */
    std::chrono::milliseconds latencyObjective{0};
    /** The route's values of settings, which override the defaults and are overridden by
        exceptions. */
    std::optional<std::chrono::milliseconds> callTimeout;
    std::optional<int> attemptLimit;
};

} // namespace boragetrack::control::intent
