/** Compares the services of a route in the present intent with those in the replaced ones; weights
    and settings do not count. */
#include "traffic/routing/RecentRouteChange.h"

#include <algorithm>
#include <set>

namespace boragetrack::traffic::routing {

using control::intent::IntentSnapshot;
using control::intent::ResolvedRoute;
using core::identity::RouteName;
using core::identity::ServiceName;
using core::timing::MonotonicTime;

namespace {

std::set<ServiceName> servicesOf(const ResolvedRoute *entry)
{
    if (entry == nullptr)
        return {};
    if (entry->route.split.empty())
        return {entry->route.service};
    std::set<ServiceName> services;
    for (const auto &part : entry->route.split)
        services.insert(part.service);
    return services;
}

template <typename FindRoute>
bool hasChanged(const RoutingSnapshot &snapshot, MonotonicTime now, FindRoute routeIn)
{
    const auto replaced = snapshot.history->replacedAt(now);
    if (replaced.empty())
        return false;
    const auto services = servicesOf(routeIn(*snapshot.intent));
    return std::any_of(replaced.begin(), replaced.end(), [&](const IntentSnapshot *intent) {
        return servicesOf(routeIn(*intent)) != services;
    });
}

} // namespace

bool hasRouteChanged(const RoutingSnapshot &snapshot, const std::string &host,
                     const std::string &path, MonotonicTime now)
{
    return hasChanged(snapshot, now,
                      [&](const IntentSnapshot &intent) { return intent.routeFor(host, path); });
}

bool hasRouteChanged(const RoutingSnapshot &snapshot, const RouteName &route, MonotonicTime now)
{
    return hasChanged(snapshot, now,
                      [&](const IntentSnapshot &intent) { return intent.routeNamed(route); });
}

} // namespace boragetrack::traffic::routing
