/** The end of a request as admission learns from it. */
#pragma once

#include "core/identity/RouteName.h"

#include <chrono>

namespace boragetrack::traffic::admission {

/** Tells how a request to the upstream went. */
struct AdmissionSample
{
    std::chrono::nanoseconds latency{0};
    /** Whether the upstream shed the request, broke off or ran out of time. */
    bool isOverload = false;
    /** Requests at once when this one began, itself included. */
    int inFlight = 0;
    core::identity::RouteName route{};
};

} // namespace boragetrack::traffic::admission
