/** The load of an upstream, carried back on answers. */
#pragma once

#include <array>
#include <chrono>

namespace boragetrack::traffic::calls {

/** Tells how busy the upstream beside the answering node is. */
struct LoadReport
{
    /** Ranks whose waits are told apart; lower ranks go first, and higher ones count as the last.
     */
    static constexpr std::size_t rankCount = 4;

    int inFlight = 0;
    int queued = 0;
    /** Requests at once that the upstream is given at present; zero when not known. */
    int limit = 0;
    /** How long a request of each rank would wait. */
    std::array<std::chrono::microseconds, rankCount> waits{};

    /** Returns how long a request of a rank would wait. */
    std::chrono::microseconds waitOf(int rank) const
    {
        const auto index = static_cast<std::size_t>(rank < 0 ? 0 : rank);
        return waits[index < rankCount ? index : rankCount - 1];
    }
};

} // namespace boragetrack::traffic::calls
