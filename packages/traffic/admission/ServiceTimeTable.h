/** How long requests take at one upstream. */
#pragma once

#include "core/identity/RouteName.h"

#include <chrono>
#include <unordered_map>

namespace boragetrack::traffic::admission {

/** Learns the usual time that an upstream works on a request of each route. */
class ServiceTimeTable
{
public:
    /** Takes the time that one request took. */
    void note(const core::identity::RouteName &route, std::chrono::nanoseconds time);

    /** Returns the usual time of a route; that of all routes while none of the route is known, and
        zero before any. */
    std::chrono::nanoseconds usual(const core::identity::RouteName &route) const;

    /** Forgets everything, for instance when another process serves. */
    void clear();

private:
    std::unordered_map<core::identity::RouteName, std::chrono::nanoseconds> routes_;
    std::chrono::nanoseconds all_{0};
};

} // namespace boragetrack::traffic::admission
