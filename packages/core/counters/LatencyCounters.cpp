/** Registers one counter per bucket. The buckets are cumulative, so a latency counts in every
    bucket above it. */
#include "core/counters/LatencyCounters.h"

namespace boragetrack::core::counters {

LatencyCounters::LatencyCounters(CounterRegistry &registry, const std::string &prefix)
    : all_(registry.counter(prefix + "_ms_le_inf"))
{
    for (std::size_t i = 0; i < edges.size(); ++i)
        buckets_[i] = &registry.counter(prefix + "_ms_le_" + std::to_string(edges[i]));
}

void LatencyCounters::add(std::chrono::nanoseconds latency)
{
    all_.add();
    for (std::size_t i = 0; i < edges.size(); ++i) {
        if (latency <= std::chrono::milliseconds(edges[i]))
            buckets_[i]->add();
    }
}

} // namespace boragetrack::core::counters
