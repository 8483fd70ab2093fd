/** The service times of one upstream. */
#pragma once

#include "core/identity/RouteName.h"
#include "core/timing/MonotonicTime.h"
#include "traffic/admission/ServiceTimeEstimate.h"

#include <chrono>
#include <unordered_map>

namespace boragetrack::traffic::admission {

/** Estimates how long an upstream takes for a request of each route. */
class ServiceTimeTable
{
public:
    /** Records that a request starts. Until it ends or the estimate has aged again, further
        requests rely on the present estimate, so that few of them probe an upstream that seems
        slow.
     */
    void recordStart(const core::identity::RouteName &route, core::timing::MonotonicTime now);

    /** Records the service time of one request. */
    void record(const core::identity::RouteName &route, std::chrono::nanoseconds time,
                core::timing::MonotonicTime now);

    /** Returns the estimate for a request of a route that starts now. */
    ServiceTimeEstimate estimate(const core::identity::RouteName &route,
                                 core::timing::MonotonicTime now) const;

    /** Discards all samples, for example when the upstream's process was replaced. */
    void clear();

private:
    struct Entry
    {
        std::chrono::nanoseconds average{0};
        core::timing::MonotonicTime sampledAt{};
        core::timing::MonotonicTime startedAt{};
    };

    // Invariant: of routes with at least one sample.
    std::unordered_map<core::identity::RouteName, Entry> routes_;
    std::chrono::nanoseconds all_{0};
};

} // namespace boragetrack::traffic::admission
