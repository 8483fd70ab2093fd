/** Latency histogram with few buckets, small enough to be sent with all evidence. */
#pragma once

#include <array>
#include <chrono>
#include <cstdint>

namespace boragetrack::control::moves {

/** Counts latencies in buckets whose upper edges start at half a millisecond and double from bucket
    to bucket. */
class LatencyHistogram
{
public:
    static constexpr std::size_t bucketCount = 16;
    using Buckets = std::array<std::uint32_t, bucketCount>;

    /** Returns the index of the bucket of a latency; the last bucket has no upper edge. */
    static std::size_t bucketOf(std::chrono::nanoseconds latency);

    /** Returns the index of the bucket that contains a quantile.
        @param quantile between 0 and 1 */
    static std::size_t quantileBucket(const std::array<double, bucketCount> &buckets,
                                      double quantile);

    /** Records one latency. */
    void add(std::chrono::nanoseconds latency) { ++buckets_[bucketOf(latency)]; }

    /** Returns the counts of all buckets, lowest latencies first. */
    const Buckets &buckets() const { return buckets_; }

    /** Replaces the counts of all buckets. */
    void setBuckets(const Buckets &buckets) { buckets_ = buckets; }

private:
    Buckets buckets_{};
};

} // namespace boragetrack::control::moves
