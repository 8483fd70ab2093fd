/** Implements IntentSnapshot. */
#include "control/intent/IntentSnapshot.h"

#include "control/intent/SettingResolver.h"

#include <algorithm>

namespace boragetrack::control::intent {

namespace {

// A prefix matches whole path segments only: "/pay" does not cover "/payments".
bool isPrefixOf(const std::string &prefix, const std::string &path)
{
    if (path.compare(0, prefix.size(), prefix) != 0)
        return false;
    return prefix.back() == '/' || path.size() == prefix.size() || path[prefix.size()] == '/'
           || path[prefix.size()] == '?';
}

template <typename Element, typename Name>
const Element *findByName(const std::vector<Element> &elements, const Name &name)
{
    const auto found = std::find_if(elements.begin(), elements.end(),
                                    [&](const Element &element) { return element.name == name; });
    return found == elements.end() ? nullptr : &*found;
}

} // namespace

IntentSnapshot::IntentSnapshot(core::identity::Revision revision, IntentDocument document,
                               const core::identity::DataCentreId &dataCentre,
                               core::timing::WallTime now)
    : revision_(revision)
    , document_(std::move(document))
{
    const SettingResolver resolver(document_, dataCentre, now);
    for (const Route &route : document_.routes)
        routes_.push_back(ResolvedRoute{route, resolver.resolve(route)});
    std::sort(routes_.begin(), routes_.end(), [](const ResolvedRoute &a, const ResolvedRoute &b) {
        return a.route.pathPrefix.size() > b.route.pathPrefix.size();
    });
    for (std::size_t i = 0; i < routes_.size(); ++i) {
        routesOfHost_[routes_[i].route.host].push_back(i);
        routesByName_.emplace(routes_[i].route.name, i);
    }
}

const ResolvedRoute *IntentSnapshot::routeFor(const std::string &host,
                                              const std::string &path) const
{
    const ResolvedRoute *entry = longestPrefix(host, path);
    return entry != nullptr || host.empty() ? entry : longestPrefix({}, path);
}

const ResolvedRoute *IntentSnapshot::routeNamed(const core::identity::RouteName &name) const
{
    const auto found = routesByName_.find(name);
    return found == routesByName_.end() ? nullptr : &routes_[found->second];
}

const ResolvedRoute *IntentSnapshot::longestPrefix(const std::string &host,
                                                   const std::string &path) const
{
    const auto found = routesOfHost_.find(host);
    if (found == routesOfHost_.end())
        return nullptr;
    for (const std::size_t index : found->second) {
        if (isPrefixOf(routes_[index].route.pathPrefix, path))
            return &routes_[index];
    }
    return nullptr;
}

const DataCentreIntent *IntentSnapshot::dataCentre(const core::identity::DataCentreId &name) const
{
    return findByName(document_.dataCentres, name);
}

const ServiceIntent *IntentSnapshot::service(const core::identity::ServiceName &name) const
{
    return findByName(document_.services, name);
}

} // namespace boragetrack::control::intent
