/** A small histogram of latencies that is cheap to send. */
#pragma once

#include <array>
#include <chrono>
#include <cstdint>

namespace boragetrack::control::moves {

/** Counts latencies in buckets whose upper edges double from half a millisecond. */
class LatencyHistogram
{
public:
    static constexpr std::size_t bucketCount = 16;
    using Buckets = std::array<std::uint32_t, bucketCount>;

    /** Returns the bucket of a latency; the last one holds all above. */
    static std::size_t bucketOf(std::chrono::nanoseconds latency);

    /** Returns the bucket in which the given share of all counts is reached.
        @param share between 0 and 1 */
    static std::size_t quantileBucket(const std::array<double, bucketCount> &buckets, double share);

    /** Counts one latency. */
    void add(std::chrono::nanoseconds latency) { ++buckets_[bucketOf(latency)]; }

    /** Returns the counts. */
    const Buckets &buckets() const { return buckets_; }

    /** Replaces the counts. */
    void setBuckets(const Buckets &buckets) { buckets_ = buckets; }

private:
    Buckets buckets_{};
};

} // namespace boragetrack::control::moves
