/** The baseline routing: one endpoint after the other. */
#pragma once

#include "traffic/routing/RoutingPolicy.h"

#include <atomic>

namespace boragetrack::traffic::routing {

/** Takes the endpoints in turn without regard to load; serves as the baseline. */
class RoundRobinRouting : public RoutingPolicy
{
public:
    std::size_t choose(std::span<const Candidate> candidates, std::mt19937_64 & /*random*/) override
    {
        return next_.fetch_add(1, std::memory_order_relaxed) % candidates.size();
    }

private:
    std::atomic<std::size_t> next_{0};
};

} // namespace boragetrack::traffic::routing
