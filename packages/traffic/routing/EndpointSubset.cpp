/** Groups the endpoints by data centre and version, since a move needs calls to both versions. */
#include "traffic/routing/EndpointSubset.h"

#include "core/hashing/StableHash.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace boragetrack::traffic::routing {

using core::identity::DataCentreId;
using core::identity::NodeId;

namespace {

struct Ranked
{
    // The position among the endpoints.
    std::size_t index = 0;
    bool isSuspect = false;
    std::uint64_t weight = 0;
};

using Groups = std::map<std::tuple<DataCentreId, core::identity::VersionName>, std::vector<Ranked>>;

Groups groupRemote(const std::vector<Endpoint> &endpoints, const NodeId &self,
                   const DataCentreId &dataCentre)
{
    Groups groups;
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
        const Endpoint &endpoint = endpoints[i];
        if (endpoint.dataCentre == dataCentre)
            continue;
        groups[{endpoint.dataCentre, endpoint.version}].push_back(
                Ranked{i, endpoint.isSuspect,
                       core::hashing::rendezvousWeight(self.value(), endpoint.node.value())});
    }
    return groups;
}

// Marks the preferred endpoints of a group.
void keepPreferred(std::vector<Ranked> &group, std::size_t count, std::vector<bool> &isKept)
{
    std::sort(group.begin(), group.end(), [](const Ranked &left, const Ranked &right) {
        return left.isSuspect != right.isSuspect ? right.isSuspect : left.weight > right.weight;
    });
    for (std::size_t i = 0; i < std::min(count, group.size()); ++i)
        isKept[group[i].index] = true;
}

} // namespace

std::vector<Endpoint> selectEndpointSubset(std::vector<Endpoint> endpoints, const NodeId &self,
                                           const DataCentreId &dataCentre)
{
    const auto remote = static_cast<std::size_t>(
            std::count_if(endpoints.begin(), endpoints.end(),
                          [&](const auto &endpoint) { return endpoint.dataCentre != dataCentre; }));
    if (remote <= maximumRemoteEndpoints)
        return endpoints;
    Groups groups = groupRemote(endpoints, self, dataCentre);
    const std::size_t perGroup
            = std::max(minimumEndpointsPerGroup, maximumRemoteEndpoints / groups.size());
    std::vector<bool> isKept(endpoints.size(), false);
    for (auto &[key, group] : groups)
        keepPreferred(group, perGroup, isKept);
    std::vector<Endpoint> kept;
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
        if (isKept[i] || endpoints[i].dataCentre == dataCentre)
            kept.push_back(std::move(endpoints[i]));
    }
    return kept;
}

} // namespace boragetrack::traffic::routing
