/** Latency histogram made of counters. */
#pragma once

#include "core/counters/CounterRegistry.h"

#include <array>
#include <chrono>

namespace boragetrack::core::counters {

/** Counts latencies in cumulative buckets named "PREFIX_ms_le_EDGE". Thread-safe. */
class LatencyCounters
{
public:
    /** Inclusive upper edges in milliseconds. A further bucket, "PREFIX_ms_le_inf", counts all
        latencies. */
    static constexpr std::array<int, 10> edges{1, 2, 5, 10, 25, 50, 100, 250, 500, 1000};

    /** @param registry owns the counters and outlives this object */
    LatencyCounters(CounterRegistry &registry, const std::string &prefix);

    /** Adds a latency to every bucket whose edge it does not exceed. */
    void add(std::chrono::nanoseconds latency);

private:
    std::array<Counter *, edges.size()> buckets_{};
    Counter &all_;
};

} // namespace boragetrack::core::counters
