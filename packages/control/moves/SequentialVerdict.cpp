/** Implements SequentialVerdict. */
#include "control/moves/SequentialVerdict.h"

#include <algorithm>

namespace boragetrack::control::moves {

namespace {

// Failures: the usual rate is twice the old version's, with a floor for versions that never fail.
constexpr double failureFloor = 0.02;
constexpr double failureCeiling = 0.60;
constexpr double failureRise = 0.10;
// ln(1/alpha) for alpha = 1.2e-4 false alarms for each excursion.
constexpr double failureThreshold = 9.0;

// Versions that fail a few calls in a hundred: the old version's failures set what is usual, with a
// floor below which no version is blamed; what counts as raised is a multiple of it. The threshold
// is the same, and so is the least number of failures in a row that reaches it, six.
constexpr double smallFailureFloor = 0.004;
constexpr double smallFailureFactor = 5.0;

// Slow means beyond the bucket after the one that holds the old version's 95th percentile, that
// is, two to four times as long.
constexpr double slowQuantile = 0.95;
constexpr std::size_t slowBucketMargin = 1;
constexpr double usualSlowRate = 0.15;
constexpr double raisedSlowRate = 0.60;
// A network in trouble loses a few answers in a hundred for a while.
constexpr double usualBrokenRate = 0.10;
constexpr double raisedBrokenRate = 0.40;
// ln(1/alpha) for alpha = 3.4e-4, over all upstreams; one of them gives at most half of it, so that
// two must agree at least.
constexpr double agreedThreshold = 8.0;
constexpr double upstreamShare = agreedThreshold / 2;
// With one upstream only there is no second to agree, so its own evidence must be stronger.
constexpr double loneUpstreamThreshold = 14.0;

constexpr double yardstickCalls = 20;
constexpr double yardstickMemory = 2000;
// A second yardstick that follows a trouble which both versions meet, within a second or so.
constexpr double recentMemory = 200;
constexpr std::uint64_t sufficientCalls = 30;

// Upstreams that got none of the last calls have left and no longer have a say. Evidence comes in
// parcels of some ten calls.
constexpr std::uint64_t recentCallsForEach = 30;
constexpr std::uint64_t fewestRecentCalls = 100;

// A trouble of a few upstreams is no trouble of their version: more than half of those that are
// called must have shown it, and where there are many, a quarter of them.
std::size_t agreementNeeded(std::size_t upstreams)
{
    constexpr std::size_t few = 3;
    constexpr std::size_t partOfMany = 4;
    return std::min(upstreams / 2 + 1, std::max(few, upstreams / partOfMany));
}

// A node that restarted counts anew, under a later generation; only the latest has a say.
template <typename Route, typename SumOf>
bool isShownByMany(const Route &route, SumOf sumOf)
{
    const std::uint64_t recent
            = std::max(fewestRecentCalls, recentCallsForEach * route.upstreams.size());
    std::size_t called = 0;
    std::size_t shown = 0;
    for (auto each = route.upstreams.begin(); each != route.upstreams.end(); ++each) {
        const auto next = std::next(each);
        const bool isSuperseded
                = next != route.upstreams.end() && next->first.first == each->first.first;
        if (isSuperseded || route.calls - each->second.lastCallAt > recent)
            continue;
        ++called;
        shown += sumOf(each->second) > 0.0;
    }
    return shown >= agreementNeeded(called);
}

template <typename Route, typename SumOf>
bool isAgreed(const Route &route, SumOf sumOf)
{
    double agreed = 0;
    double highest = 0;
    for (const auto &[key, upstream] : route.upstreams) {
        agreed += std::min(sumOf(upstream), upstreamShare);
        highest = std::max(highest, sumOf(upstream));
    }
    if (route.upstreams.size() == 1)
        return highest >= loneUpstreamThreshold;
    return agreed >= agreedThreshold && isShownByMany(route, sumOf);
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
    OldOutcomes &old = route.old;
    const double fading = old.calls > yardstickMemory ? 0.5 : 1.0;
    old.calls = old.calls * fading + delta.calls;
    old.failures = old.failures * fading + delta.failures;
    const double recentFading = old.recentCalls > recentMemory ? 0.5 : 1.0;
    old.recentCalls = old.recentCalls * recentFading + delta.calls;
    old.recentFailures = old.recentFailures * recentFading + delta.failures;
    for (std::size_t i = 0; i < LatencyHistogram::bucketCount; ++i)
        old.latencies[i] = old.latencies[i] * fading + delta.latencies.buckets()[i];
}

void SequentialVerdict::observeNewVersion(const EvidenceKey &key, const EvidenceCounts &delta)
{
    RouteTests &route = routes_[key.route];
    route.calls += delta.calls;
    route.failures += delta.failures;
    const double oldRate = route.old.calls > 0 ? route.old.failures / route.old.calls : 0.0;
    const double usual = std::clamp(2.0 * oldRate, failureFloor, failureCeiling);
    route.failed.add(delta.failures, delta.calls - delta.failures, usual, usual + failureRise);
    // Above the other test's floor a short run of failures says nothing.
    const double usualSmall = std::max(2.0 * rateForSmallRises(route.old), smallFailureFloor);
    if (usualSmall <= failureFloor)
        route.failedSometimes.add(delta.failures, delta.calls - delta.failures, usualSmall,
                                  smallFailureFactor * usualSmall);
    UpstreamTests &upstream = route.upstreams[{key.node, key.generation}];
    upstream.lastCallAt = route.calls;
    // Fixed rates: this only tells which upstreams have shown failures lately.
    upstream.failed.add(delta.failures, delta.calls - delta.failures, smallFailureFloor,
                        smallFailureFactor * smallFailureFloor);
    upstream.brokenCalls += delta.broken;
    upstream.broken.add(delta.broken, delta.calls - delta.broken, usualBrokenRate,
                        raisedBrokenRate);
    observeLatencies(route, upstream, delta);
}

// One failure more than was seen: few calls without any say little about a rate near zero.
double SequentialVerdict::rateForSmallRises(const OldOutcomes &old)
{
    const double longRate = (old.failures + 1.0) / (old.calls + 1.0);
    const double recentRate = old.recentCalls > 0 ? old.recentFailures / old.recentCalls : 0.0;
    return std::max(longRate, recentRate);
}

void SequentialVerdict::observeLatencies(RouteTests &route, UpstreamTests &upstream,
                                         const EvidenceCounts &delta)
{
    double known = 0;
    for (const double count : route.old.latencies)
        known += count;
    if (known < yardstickCalls)
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
        if (auto evidence = judge(name.value(), route))
            return evidence;
    }
    return std::nullopt;
}

std::optional<std::string> SequentialVerdict::judge(const std::string &name,
                                                    const RouteTests &route)
{
    const bool isFailing
            = std::max(route.failed.sum(), route.failedSometimes.sum()) >= failureThreshold;
    if (isFailing && isShownByMany(route, [](const auto &each) { return each.failed.sum(); }))
        return "route " + name + ": " + ratio(route.failures, route.calls)
               + " calls to the new version failed, against "
               + ratio(route.oldFailures, route.oldCalls) + " to the old one";
    if (isAgreed(route, [](const auto &upstream) { return upstream.slow.sum(); }))
        return "route " + name + ": "
               + ratio(total(route.upstreams, [](const auto &u) { return u.slowCalls; }),
                       route.calls)
               + " calls to the new version took over twice the old version's 95th percentile";
    if (isAgreed(route, [](const auto &upstream) { return upstream.broken.sum(); }))
        return "route " + name + ": "
               + ratio(total(route.upstreams, [](const auto &u) { return u.brokenCalls; }),
                       route.calls)
               + " calls to the new version broke off or ran out of time";
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
    return text.empty() ? "no calls were seen" : text;
}

} // namespace boragetrack::control::moves
