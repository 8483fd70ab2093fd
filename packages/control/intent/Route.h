/** A route from a path to a service. */
#pragma once

#include "control/intent/WeightedService.h"
#include "core/identity/RouteName.h"
#include "core/identity/ServiceName.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace boragetrack::control::intent {

/** Sends requests whose path starts with a prefix to a service. */
struct Route
{
    core::identity::RouteName name;
    /** The host that requests name; empty for any. */
    std::string host;
    std::string pathPrefix;
    core::identity::ServiceName service;
    /** Divides the calls among services instead of sending all to one; mostly empty. */
    std::vector<WeightedService> split;
    /** Whether every request of this route may run more than once. */
    bool isIdempotent = false;
    /** The rank among routes when there is not room for all; 0 is the most urgent. */
    int priority = 0;
    /** The time within which an answer is worth most to the caller; zero when not given. */
    std::chrono::milliseconds latencyObjective{0};
    /** The route's own values, which go before the defaults and after exceptions. */
    std::optional<std::chrono::milliseconds> callTimeout;
    std::optional<int> attemptLimit;
};

} // namespace boragetrack::control::intent
