/** Lookups by route and by service. Targets are found by the position of their route in the intent,
    since both lists have the same order. */
#include "traffic/routing/RoutingSnapshot.h"

#include <algorithm>

namespace boragetrack::traffic::routing {

std::optional<std::chrono::milliseconds>
RoutingSnapshot::intentAge(core::timing::MonotonicTime now) const
{
    if (!isServing)
        return std::nullopt;
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - origin->inForceSince);
}

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
    const auto found = members->endpoints.find(service);
    return found == members->endpoints.end() ? none : found->second;
}

} // namespace boragetrack::traffic::routing
