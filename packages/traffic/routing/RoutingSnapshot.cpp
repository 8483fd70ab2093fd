/** Implements RoutingSnapshot. */
#include "traffic/routing/RoutingSnapshot.h"

#include <algorithm>

namespace boragetrack::traffic::routing {

const RouteTarget *RoutingSnapshot::targetFor(const std::string &host,
                                              const std::string &path) const
{
    return targetOf(intent->routeFor(host, path));
}

const RouteTarget *RoutingSnapshot::targetNamed(const core::identity::RouteName &name) const
{
    return targetOf(intent->routeNamed(name));
}

const RouteTarget *RoutingSnapshot::targetOf(const control::intent::ResolvedRoute *entry) const
{
    return entry == nullptr ? nullptr
                            : &targets[static_cast<std::size_t>(entry - intent->routes().data())];
}

const std::vector<Endpoint> &
RoutingSnapshot::endpointsOf(const core::identity::ServiceName &service) const
{
    static const std::vector<Endpoint> none;
    const auto found = endpoints.find(service);
    return found == endpoints.end() ? none : found->second;
}

} // namespace boragetrack::traffic::routing
