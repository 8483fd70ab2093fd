/** Moving averages of service times, one for each route and one for all routes. */
#include "traffic/admission/ServiceTimeTable.h"

#include <algorithm>

namespace boragetrack::traffic::admission {

namespace {

// The weight of a sample. The average covers about the last ten requests, so that it follows an
// upstream that becomes slow within a second at usual rates.
constexpr double smoothing = 1.0 / 8;

void smooth(std::chrono::nanoseconds &average, std::chrono::nanoseconds sample, double weight)
{
    if (average.count() == 0)
        average = sample;
    else
        average += std::chrono::duration_cast<std::chrono::nanoseconds>((sample - average)
                                                                        * weight);
}

} // namespace

void ServiceTimeTable::recordStart(const core::identity::RouteName &route,
                                   core::timing::MonotonicTime now)
{
    const auto found = routes_.find(route);
    if (found != routes_.end())
        found->second.startedAt = now;
}

// A sample after a long pause weighs more, since it replaces an estimate that has aged.
void ServiceTimeTable::record(const core::identity::RouteName &route, std::chrono::nanoseconds time,
                              core::timing::MonotonicTime now)
{
    Entry &entry = routes_[route];
    smooth(entry.average, time,
           std::max(smoothing, ServiceTimeEstimate::agedShare(now - entry.sampledAt)));
    entry.sampledAt = now;
    smooth(all_, time, smoothing);
}

ServiceTimeEstimate ServiceTimeTable::estimate(const core::identity::RouteName &route,
                                               core::timing::MonotonicTime now) const
{
    const auto found = routes_.find(route);
    if (found == routes_.end())
        return ServiceTimeEstimate::ofOtherRoutes(all_);
    const Entry &entry = found->second;
    return ServiceTimeEstimate::ofRoute(entry.average,
                                        now - std::max(entry.sampledAt, entry.startedAt));
}

void ServiceTimeTable::clear()
{
    routes_.clear();
    all_ = std::chrono::nanoseconds::zero();
}

} // namespace boragetrack::traffic::admission
