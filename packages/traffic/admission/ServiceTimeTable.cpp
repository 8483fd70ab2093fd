/** Implements ServiceTimeTable. */
#include "traffic/admission/ServiceTimeTable.h"

namespace boragetrack::traffic::admission {

namespace {

// The weight of each further request: the last ten or so decide, which follows an upstream that
// turns slow within a second at usual rates.
constexpr int smoothing = 8;

void smooth(std::chrono::nanoseconds &usual, std::chrono::nanoseconds time)
{
    if (usual.count() == 0)
        usual = time;
    else
        usual += (time - usual) / smoothing;
}

} // namespace

void ServiceTimeTable::note(const core::identity::RouteName &route, std::chrono::nanoseconds time)
{
    smooth(routes_[route], time);
    smooth(all_, time);
}

std::chrono::nanoseconds ServiceTimeTable::usual(const core::identity::RouteName &route) const
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
