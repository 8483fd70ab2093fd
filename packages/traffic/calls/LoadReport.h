/** The load of an upstream, as its node reports it with each response. */
#pragma once

#include <array>
#include <chrono>

namespace boragetrack::traffic::calls {

/** Describes how busy the upstream of the responding node is. */
struct LoadReport
{
    /** Ranks whose waits are reported separately; higher ranks count as the last one. */
    static constexpr std::size_t rankCount = 4;

    /** Requests that run at the upstream, and requests that wait for a permit. */
    int inFlight = 0;
    int queued = 0;
    /** The present concurrency limit of the upstream; zero when not known. */
    int limit = 0;
    /** The expected queueing delay of each rank. */
    std::array<std::chrono::microseconds, rankCount> waits{};

    /** Returns the expected queueing delay of a request of a rank. */
    std::chrono::microseconds waitOf(int rank) const
    {
        const auto index = static_cast<std::size_t>(rank < 0 ? 0 : rank);
        return waits[index < rankCount ? index : rankCount - 1];
    }
};

} // namespace boragetrack::traffic::calls
