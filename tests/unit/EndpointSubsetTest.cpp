/** Tests that the endpoints in other data centres are limited without leaving any of them unused.
 */
#include "traffic/routing/EndpointSubset.h"

#include <gtest/gtest.h>
#include <map>

using namespace boragetrack;
using namespace boragetrack::traffic::routing;
using core::identity::DataCentreId;
using core::identity::NodeId;
using core::identity::VersionName;

namespace {

std::vector<Endpoint> endpointsOf(int perDataCentre, int dataCentres)
{
    std::vector<Endpoint> endpoints;
    for (int i = 0; i < perDataCentre * dataCentres; ++i) {
        Endpoint endpoint;
        endpoint.node = NodeId("n" + std::to_string(i));
        endpoint.dataCentre = DataCentreId("dc" + std::to_string(i % dataCentres));
        endpoint.version = VersionName("v1");
        endpoints.push_back(endpoint);
    }
    return endpoints;
}

std::vector<Endpoint> subsetFor(int caller, std::vector<Endpoint> endpoints)
{
    return selectEndpointSubset(std::move(endpoints), NodeId("caller" + std::to_string(caller)),
                                DataCentreId("dc0"));
}

} // namespace

TEST(EndpointSubset, keepsAllEndpointsOfASmallService)
{
    EXPECT_EQ(subsetFor(1, endpointsOf(3, 5)).size(), 15U);
}

TEST(EndpointSubset, doesNotGrowWithTheServiceInOtherDataCentres)
{
    for (const int perDataCentre : {10, 23, 114}) {
        const auto kept = subsetFor(1, endpointsOf(perDataCentre, 6));
        const auto remote = std::count_if(kept.begin(), kept.end(), [](const auto &endpoint) {
            return endpoint.dataCentre != DataCentreId("dc0");
        });
        EXPECT_EQ(kept.size() - static_cast<std::size_t>(remote),
                  static_cast<std::size_t>(perDataCentre));
        EXPECT_LE(remote, static_cast<std::ptrdiff_t>(maximumRemoteEndpoints));
        EXPECT_GE(remote, 5 * static_cast<std::ptrdiff_t>(minimumEndpointsPerGroup));
    }
}

TEST(EndpointSubset, leavesNoEndpointUnused)
{
    std::map<NodeId, int> callers;
    constexpr int callerCount = 300;
    for (int caller = 0; caller < callerCount; ++caller) {
        for (const Endpoint &endpoint : subsetFor(caller, endpointsOf(23, 6))) {
            if (endpoint.dataCentre != DataCentreId("dc0"))
                ++callers[endpoint.node];
        }
    }
    EXPECT_EQ(callers.size(), 5U * 23U);
    // The mean is 300 callers * 2 endpoints / 23 = 26.
    for (const auto &[node, count] : callers) {
        EXPECT_GE(count, 10) << node.value();
        EXPECT_LE(count, 52) << node.value();
    }
}

TEST(EndpointSubset, changesLittleWhenAnEndpointLeaves)
{
    auto endpoints = endpointsOf(23, 6);
    const auto before = subsetFor(1, endpoints);
    const NodeId left = std::find_if(before.begin(), before.end(), [](const auto &endpoint) {
                            return endpoint.dataCentre != DataCentreId("dc0");
                        })->node;
    std::erase_if(endpoints, [&](const auto &endpoint) { return endpoint.node == left; });
    const auto after = subsetFor(1, endpoints);
    int added = 0;
    for (const Endpoint &endpoint : after) {
        added += std::none_of(before.begin(), before.end(),
                              [&](const auto &other) { return other.node == endpoint.node; });
    }
    EXPECT_EQ(added, 1);
}

// Calls to both versions are needed during a move, and suspect endpoints get none.
TEST(EndpointSubset, keepsBothVersionsAndPrefersEndpointsThatAreNotSuspect)
{
    auto endpoints = endpointsOf(23, 6);
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
        if (i % 13 == 0)
            endpoints[i].version = VersionName("v2");
        else
            endpoints[i].isSuspect = i % 2 == 0;
    }
    std::map<VersionName, int> versions;
    for (const Endpoint &endpoint : subsetFor(1, endpoints)) {
        if (endpoint.dataCentre == DataCentreId("dc0"))
            continue;
        ++versions[endpoint.version];
    }
    EXPECT_GE(versions[VersionName("v2")], 2);
    EXPECT_GE(versions[VersionName("v1")], 5 * static_cast<int>(minimumEndpointsPerGroup));
}
