/** Implements RoutingSnapshot. */
#include "traffic/routing/RoutingSnapshot.h"

#include <algorithm>

namespace boragetrack::traffic::routing {

const RouteTarget *RoutingSnapshot::targetFor(const std::string &host,
                                              const std::string &path) const
{
    const control::intent::RouteEntry *entry = intent->routeFor(host, path);
    return entry == nullptr ? nullptr
                            : &targets[static_cast<std::size_t>(entry - intent->routes().data())];
}

const RouteTarget *RoutingSnapshot::targetNamed(const core::identity::RouteName &name) const
{
    const auto found = std::find_if(targets.begin(), targets.end(), [&](const RouteTarget &target) {
        return target.entry.route.name == name;
    });
    return found == targets.end() ? nullptr : &*found;
}

const std::vector<Endpoint> &
RoutingSnapshot::endpointsOf(const core::identity::ServiceName &service) const
{
    static const std::vector<Endpoint> none;
    const auto found = endpoints.find(service);
    return found == endpoints.end() ? none : found->second;
}

} // namespace boragetrack::traffic::routing
