/** A histogram of latencies as counters. */
#pragma once

#include "core/counters/CounterRegistry.h"

#include <array>
#include <chrono>

namespace boragetrack::core::counters {

/** Counts latencies in cumulative buckets named "PREFIX_ms_le_EDGE". */
class LatencyCounters
{
public:
    /** Upper edges in milliseconds; the last bucket counts all. */
    static constexpr std::array<int, 10> edges{1, 2, 5, 10, 25, 50, 100, 250, 500, 1000};

    LatencyCounters(CounterRegistry &registry, const std::string &prefix);

    /** Counts one latency. */
    void add(std::chrono::nanoseconds latency);

private:
    std::array<Counter *, edges.size()> buckets_{};
    Counter &all_;
};

} // namespace boragetrack::core::counters
