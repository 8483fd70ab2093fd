/** Finds buckets by linear search, which is cheap for so few of them. */
#include "control/moves/LatencyHistogram.h"

#include <numeric>

namespace boragetrack::control::moves {

namespace {
constexpr std::chrono::nanoseconds firstUpperEdge = std::chrono::microseconds(500);
} // namespace

std::size_t LatencyHistogram::bucketOf(std::chrono::nanoseconds latency)
{
    std::size_t bucket = 0;
    std::chrono::nanoseconds upperEdge = firstUpperEdge;
    while (bucket + 1 < bucketCount && latency >= upperEdge) {
        upperEdge *= 2;
        ++bucket;
    }
    return bucket;
}

std::size_t LatencyHistogram::quantileBucket(const std::array<double, bucketCount> &buckets,
                                             double quantile)
{
    const double total = std::accumulate(buckets.begin(), buckets.end(), 0.0);
    double cumulative = 0.0;
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        cumulative += buckets[bucket];
        if (cumulative >= quantile * total)
            return bucket;
    }
    return bucketCount - 1;
}

} // namespace boragetrack::control::moves
