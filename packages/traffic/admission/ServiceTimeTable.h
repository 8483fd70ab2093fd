/** The service times of one upstream. */
#pragma once

#include "core/identity/RouteName.h"

#include <chrono>
#include <unordered_map>

namespace boragetrack::traffic::admission {

/** Estimates how long an upstream takes for a request of each route. */
class ServiceTimeTable
{
public:
    /** Records the service time of one request. */
    void record(const core::identity::RouteName &route, std::chrono::nanoseconds time);

    /** Returns the moving average of a route; that of all routes when there is no request of this
        route yet, and zero before any request. */
    std::chrono::nanoseconds average(const core::identity::RouteName &route) const;

    /** Discards all samples, for example when the upstream's process was replaced. */
    void clear();

private:
    std::unordered_map<core::identity::RouteName, std::chrono::nanoseconds> routes_;
    std::chrono::nanoseconds all_{0};
};

} // namespace boragetrack::traffic::admission
