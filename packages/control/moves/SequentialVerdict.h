/** The standard verdict policy. */
#pragma once

#include "control/moves/CumulativeSumTest.h"
#include "control/moves/VerdictPolicy.h"

#include <array>
#include <map>

namespace boragetrack::control::moves {

/**
    Detects bad versions with sequential tests: for failures, for each route over all upstreams; for
    slow and broken calls, for each upstream.

    Several upstreams must show the fault, because a few that fail, lose responses, are cold,
    restart or crash are no evidence about their version. The expected rates of failures and the
    limit for slow calls come from the outcomes of the old version in the same period.
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
    // A node and its generation, in this order, so that the generations of a node are adjacent.
    using UpstreamKey = std::pair<core::identity::NodeId, std::uint64_t>;

    // The old version's outcomes. Older ones decay, so that the counts follow its present state.
    struct OldVersionOutcomes
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
        // The value of RouteTests::calls after the last call to this upstream.
        std::uint64_t lastCallAt = 0;
    };

    struct RouteTests
    {
        OldVersionOutcomes old;
        std::uint64_t oldCalls = 0;
        std::uint64_t oldFailures = 0;
        CumulativeSumTest failed;
        CumulativeSumTest failedRarely;
        std::uint64_t calls = 0;
        std::uint64_t failures = 0;
        std::map<UpstreamKey, UpstreamTests> upstreams;
    };

    void observeLatencies(RouteTests &route, UpstreamTests &upstream, const EvidenceCounts &delta);
    static double expectedRareFailureRate(const OldVersionOutcomes &old);
    static std::optional<std::string> evaluateRoute(const std::string &name,
                                                    const RouteTests &route);

    std::map<core::identity::RouteName, RouteTests> routes_;
};

} // namespace boragetrack::control::moves
