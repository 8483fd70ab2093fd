/** The outcome of one request, as admission policies use it. */
#pragma once

#include "core/identity/OrganisationName.h"
#include "core/identity/RouteName.h"

#include <chrono>

namespace boragetrack::traffic::admission {

/** Describes how a request to the upstream ended. */
struct AdmissionSample
{
    std::chrono::nanoseconds latency{0};
    /** Whether the upstream shed the request, dropped the connection or timed out. */
    bool isOverload = false;
    /** Requests in flight when this one started, itself included. */
    int inFlight = 0;
    core::identity::RouteName route{};
    core::identity::OrganisationName organisation{};
};

} // namespace boragetrack::traffic::admission
