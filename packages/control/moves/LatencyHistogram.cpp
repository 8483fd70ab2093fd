/** Implements LatencyHistogram. */
#include "control/moves/LatencyHistogram.h"

#include <numeric>

namespace boragetrack::control::moves {

namespace {
constexpr std::chrono::nanoseconds firstEdge = std::chrono::microseconds(500);
} // namespace

std::size_t LatencyHistogram::bucketOf(std::chrono::nanoseconds latency)
{
    std::size_t bucket = 0;
    std::chrono::nanoseconds edge = firstEdge;
    while (bucket + 1 < bucketCount && latency >= edge) {
        edge *= 2;
        ++bucket;
    }
    return bucket;
}

std::size_t LatencyHistogram::quantileBucket(const std::array<double, bucketCount> &buckets,
                                             double share)
{
    const double total = std::accumulate(buckets.begin(), buckets.end(), 0.0);
    double reached = 0.0;
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        reached += buckets[bucket];
        if (reached >= share * total)
            return bucket;
    }
    return bucketCount - 1;
}

} // namespace boragetrack::control::moves
