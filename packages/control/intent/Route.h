/** A route from a path to a service. */
#pragma once

#include "core/identity/RouteName.h"
#include "core/identity/ServiceName.h"

#include <string>

namespace boragetrack::control::intent {

/** Sends requests whose path starts with a prefix to a service. */
struct Route
{
    core::identity::RouteName name;
    std::string pathPrefix;
    core::identity::ServiceName service;
    /** Whether every request of this route may run more than once; GET and HEAD always may. */
    bool isIdempotent = false;
};

} // namespace boragetrack::control::intent
