/** A verdict by sequential tests. */
#pragma once

#include "control/moves/CumulativeSumTest.h"
#include "control/moves/VerdictPolicy.h"

#include <array>
#include <map>

namespace boragetrack::control::moves {

/**
    Judges failures for each route over all upstreams, and slowness and broken connections for each
    upstream. Several upstreams must have shown it: a few that fail, lost answers, went cold,
    restarted or died say nothing of their version. The old version's outcomes in the same time are
    the yardstick.
*/
class SequentialVerdict : public VerdictPolicy
{
public:
    void observeOldVersion(const EvidenceKey &key, const EvidenceCounts &delta) override;
    void observeNewVersion(const EvidenceKey &key, const EvidenceCounts &delta) override;
    std::optional<std::string> regressionEvidence() const override;
    bool hasSufficientEvidence(const core::identity::RouteName &route) const override;
    std::string summary() const override;

private:
    // A node and its generation; in this order, so that generations of a node stand together.
    using UpstreamKey = std::pair<core::identity::NodeId, std::uint64_t>;

    // The yardstick; older outcomes fade so that it follows the old version's present state.
    struct OldOutcomes
    {
        double calls = 0;
        double failures = 0;
        double recentCalls = 0;
        double recentFailures = 0;
        std::array<double, LatencyHistogram::bucketCount> latencies{};
    };

    struct UpstreamTests
    {
        CumulativeSumTest failed;
        CumulativeSumTest slow;
        CumulativeSumTest broken;
        std::uint64_t slowCalls = 0;
        std::uint64_t brokenCalls = 0;
        // The number of the route's last call that went to this upstream.
        std::uint64_t lastCallAt = 0;
    };

    struct RouteTests
    {
        OldOutcomes old;
        std::uint64_t oldCalls = 0;
        std::uint64_t oldFailures = 0;
        CumulativeSumTest failed;
        CumulativeSumTest failedSometimes;
        std::uint64_t calls = 0;
        std::uint64_t failures = 0;
        std::map<UpstreamKey, UpstreamTests> upstreams;
    };

    void observeLatencies(RouteTests &route, UpstreamTests &upstream, const EvidenceCounts &delta);
    static double rateForSmallRises(const OldOutcomes &old);
    static std::optional<std::string> judge(const std::string &name, const RouteTests &route);

    std::map<core::identity::RouteName, RouteTests> routes_;
};

} // namespace boragetrack::control::moves
