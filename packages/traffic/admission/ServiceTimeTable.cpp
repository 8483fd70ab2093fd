/** Moving averages of service times, one for each route and one for all routes. */
#include "traffic/admission/ServiceTimeTable.h"

namespace boragetrack::traffic::admission {

namespace {

// The inverse weight of a sample. The average covers about the last ten requests, so that it
// follows an upstream that becomes slow within a second at usual rates.
constexpr int smoothing = 8;

void smooth(std::chrono::nanoseconds &average, std::chrono::nanoseconds sample)
{
    if (average.count() == 0)
        average = sample;
    else
        average += (sample - average) / smoothing;
}

} // namespace

void ServiceTimeTable::record(const core::identity::RouteName &route, std::chrono::nanoseconds time)
{
    smooth(routes_[route], time);
    smooth(all_, time);
}

std::chrono::nanoseconds ServiceTimeTable::average(const core::identity::RouteName &route) const
{
    const auto found = routes_.find(route);
    return found == routes_.end() ? all_ : found->second;
}

void ServiceTimeTable::clear()
{
    routes_.clear();
    all_ = std::chrono::nanoseconds::zero();
}

} // namespace boragetrack::traffic::admission
