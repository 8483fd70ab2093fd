/** Runs cumulative sum tests over the outcomes of the new version. The expected rates come from the
    old version's evidence, and a test only counts if enough upstreams contributed to it. */
#include "control/moves/SequentialVerdict.h"

#include <algorithm>

namespace boragetrack::control::moves {

namespace {

// Test for frequent failures. The usual rate is twice the old version's, with a floor for
// versions that never fail.
constexpr double failureFloor = 0.02;
constexpr double failureCeiling = 0.60;
constexpr double failureRise = 0.10;
// ln(1/alpha) for a false-alarm probability alpha of 1.2e-4 per excursion.
constexpr double failureThreshold = 9.0;

// Test for rare failures, of a few calls in a hundred. The usual rate comes from the old
// version's failures, with a floor below which no version is considered bad, and the raised rate is
// a multiple of it. Both tests have the same threshold, which takes at least six consecutive
// failures to reach.
constexpr double rareFailureFloor = 0.004;
constexpr double rareFailureFactor = 5.0;

// A call is slow if its latency lies beyond the bucket after the one with the old version's 95th
// percentile, that is, if it takes two to four times as long or longer.
constexpr double slowQuantile = 0.95;
constexpr std::size_t slowBucketMargin = 1;
constexpr double usualSlowRate = 0.15;
constexpr double raisedSlowRate = 0.60;
// A network fault can lose a few responses in a hundred for a while.
constexpr double usualBrokenRate = 0.10;
constexpr double raisedBrokenRate = 0.40;
// ln(1/alpha) for a false-alarm probability alpha of 3.4e-4 over all upstreams. A single upstream
// contributes at most half of it, so that at least two must show the fault.
constexpr double combinedThreshold = 8.0;
constexpr double maxUpstreamSum = combinedThreshold / 2;
// With a single upstream, no second one can confirm the evidence, so it must be stronger.
constexpr double singleUpstreamThreshold = 14.0;

constexpr double minOldLatencies = 20;
constexpr double oldWindowCalls = 2000;
// A shorter window of the old version's calls, which follows a fault that affects both versions
// within about a second.
constexpr double recentWindowCalls = 200;
constexpr std::uint64_t sufficientCalls = 30;

// An upstream that received none of the route's recent calls is assumed to have left and is
// ignored. Evidence arrives in batches of about ten calls.
constexpr std::uint64_t recentCallsPerUpstream = 30;
constexpr std::uint64_t minRecentCalls = 100;

// Returns how many of the upstreams in use must show a fault before it is attributed to their
// version and not to single upstreams: more than half, but no more than three, or than a quarter
// where there are many.
std::size_t requiredUpstreams(std::size_t upstreams)
{
    constexpr std::size_t sufficientUpstreams = 3;
    constexpr std::size_t sufficientDivisor = 4;
    return std::min(upstreams / 2 + 1,
                    std::max(sufficientUpstreams, upstreams / sufficientDivisor));
}

// Returns whether enough of the upstreams in use show the fault. A node that restarts begins new
// counts under a later generation; only its latest generation is considered.
template <typename Route, typename SumOf>
bool isShownByEnoughUpstreams(const Route &route, SumOf sumOf)
{
    const std::uint64_t recent
            = std::max(minRecentCalls, recentCallsPerUpstream * route.upstreams.size());
    std::size_t inUse = 0;
    std::size_t showing = 0;
    for (auto each = route.upstreams.begin(); each != route.upstreams.end(); ++each) {
        const auto next = std::next(each);
        const bool isSuperseded
                = next != route.upstreams.end() && next->first.first == each->first.first;
        if (isSuperseded || route.calls - each->second.lastCallAt > recent)
            continue;
        ++inUse;
        showing += sumOf(each->second) > 0.0;
    }
    return showing >= requiredUpstreams(inUse);
}

// Returns whether a test that runs for each upstream separately exceeds its threshold.
template <typename Route, typename SumOf>
bool isConfirmed(const Route &route, SumOf sumOf)
{
    double combined = 0;
    double highest = 0;
    for (const auto &[key, upstream] : route.upstreams) {
        combined += std::min(sumOf(upstream), maxUpstreamSum);
        highest = std::max(highest, sumOf(upstream));
    }
    if (route.upstreams.size() == 1)
        return highest >= singleUpstreamThreshold;
    return combined >= combinedThreshold && isShownByEnoughUpstreams(route, sumOf);
}

template <typename Upstreams, typename CountOf>
std::uint64_t total(const Upstreams &upstreams, CountOf countOf)
{
    std::uint64_t sum = 0;
    for (const auto &[key, upstream] : upstreams)
        sum += countOf(upstream);
    return sum;
}

std::string ratio(std::uint64_t part, std::uint64_t whole)
{
    return std::to_string(part) + " of " + std::to_string(whole);
}

} // namespace

void SequentialVerdict::observeOldVersion(const EvidenceKey &key, const EvidenceCounts &delta)
{
    RouteTests &route = routes_[key.route];
    route.oldCalls += delta.calls;
    route.oldFailures += delta.failures;
    OldVersionOutcomes &old = route.old;
    const double decay = old.calls > oldWindowCalls ? 0.5 : 1.0;
    old.calls = old.calls * decay + delta.calls;
    old.failures = old.failures * decay + delta.failures;
    const double recentDecay = old.recentCalls > recentWindowCalls ? 0.5 : 1.0;
    old.recentCalls = old.recentCalls * recentDecay + delta.calls;
    old.recentFailures = old.recentFailures * recentDecay + delta.failures;
    for (std::size_t i = 0; i < LatencyHistogram::bucketCount; ++i)
        old.latencies[i] = old.latencies[i] * decay + delta.latencies.buckets()[i];
}

void SequentialVerdict::observeNewVersion(const EvidenceKey &key, const EvidenceCounts &delta)
{
    RouteTests &route = routes_[key.route];
    route.calls += delta.calls;
    route.failures += delta.failures;
    const double oldRate = route.old.calls > 0 ? route.old.failures / route.old.calls : 0.0;
    const double usualRate = std::clamp(2.0 * oldRate, failureFloor, failureCeiling);
    route.failed.add(delta.failures, delta.calls - delta.failures, usualRate,
                     usualRate + failureRise);
    // Above the floor of the test for frequent failures, a short run of failures is no evidence.
    const double usualRareRate
            = std::max(2.0 * expectedRareFailureRate(route.old), rareFailureFloor);
    if (usualRareRate <= failureFloor)
        route.failedRarely.add(delta.failures, delta.calls - delta.failures, usualRareRate,
                               rareFailureFactor * usualRareRate);
    UpstreamTests &upstream = route.upstreams[{key.node, key.generation}];
    upstream.lastCallAt = route.calls;
    // With fixed rates, because this test only shows which upstreams failed calls recently.
    upstream.failed.add(delta.failures, delta.calls - delta.failures, rareFailureFloor,
                        rareFailureFactor * rareFailureFloor);
    upstream.brokenCalls += delta.broken;
    upstream.broken.add(delta.broken, delta.calls - delta.broken, usualBrokenRate,
                        raisedBrokenRate);
    observeLatencies(route, upstream, delta);
}

// Adds one failure to those recorded, because a few calls without any do not show a rate
// near zero.
double SequentialVerdict::expectedRareFailureRate(const OldVersionOutcomes &old)
{
    const double longRate = (old.failures + 1.0) / (old.calls + 1.0);
    const double recentRate = old.recentCalls > 0 ? old.recentFailures / old.recentCalls : 0.0;
    return std::max(longRate, recentRate);
}

void SequentialVerdict::observeLatencies(RouteTests &route, UpstreamTests &upstream,
                                         const EvidenceCounts &delta)
{
    double oldLatencies = 0;
    for (const double count : route.old.latencies)
        oldLatencies += count;
    if (oldLatencies < minOldLatencies)
        return;
    const std::size_t limit = LatencyHistogram::quantileBucket(route.old.latencies, slowQuantile)
                              + slowBucketMargin;
    std::uint64_t slow = 0;
    std::uint64_t fast = 0;
    for (std::size_t i = 0; i < LatencyHistogram::bucketCount; ++i)
        (i > limit ? slow : fast) += delta.latencies.buckets()[i];
    upstream.slowCalls += slow;
    upstream.slow.add(static_cast<double>(slow), static_cast<double>(fast), usualSlowRate,
                      raisedSlowRate);
}

std::optional<std::string> SequentialVerdict::regressionEvidence() const
{
    for (const auto &[name, route] : routes_) {
        if (auto evidence = evaluateRoute(name.value(), route))
            return evidence;
    }
    return std::nullopt;
}

std::optional<std::string> SequentialVerdict::evaluateRoute(const std::string &name,
                                                            const RouteTests &route)
{
    const bool isFailing
            = std::max(route.failed.sum(), route.failedRarely.sum()) >= failureThreshold;
    if (isFailing
        && isShownByEnoughUpstreams(route, [](const auto &each) { return each.failed.sum(); }))
        return "route " + name + ": " + ratio(route.failures, route.calls)
               + " calls to the new version failed, against "
               + ratio(route.oldFailures, route.oldCalls) + " to the old one";
    if (isConfirmed(route, [](const auto &upstream) { return upstream.slow.sum(); }))
        return "route " + name + ": "
               + ratio(total(route.upstreams, [](const auto &u) { return u.slowCalls; }),
                       route.calls)
               + " calls to the new version took over twice the old version's 95th percentile";
    if (isConfirmed(route, [](const auto &upstream) { return upstream.broken.sum(); }))
        return "route " + name + ": "
               + ratio(total(route.upstreams, [](const auto &u) { return u.brokenCalls; }),
                       route.calls)
               + " calls to the new version lost their connection or exceeded their deadline";
    return std::nullopt;
}

bool SequentialVerdict::hasSufficientEvidence(const core::identity::RouteName &route) const
{
    const auto found = routes_.find(route);
    if (found == routes_.end())
        return false;
    return found->second.calls >= sufficientCalls
           && found->second.failed.sum() < failureThreshold / 3;
}

std::string SequentialVerdict::summary() const
{
    std::string text;
    for (const auto &[name, route] : routes_) {
        text += (text.empty() ? "" : "; ") + std::string("route ") + name.value() + ": "
                + ratio(route.failures, route.calls) + " calls to the new version failed, "
                + ratio(route.oldFailures, route.oldCalls) + " to the old one";
    }
    return text.empty() ? "no calls were recorded" : text;
}

} // namespace boragetrack::control::moves
