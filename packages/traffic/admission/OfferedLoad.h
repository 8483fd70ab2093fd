/** The load that arrives for an upstream, by rank. */
#pragma once

#include "core/timing/MonotonicTime.h"

#include <array>
#include <chrono>

namespace boragetrack::traffic::admission {

/** Measures, for each rank, the service time that its arriving requests need per second, which is
    the number of permits that they keep in use on average. */
class OfferedLoad
{
public:
    /** Ranks that are counted separately; higher ranks count as the last one. */
    static constexpr std::size_t rankCount = 4;
    /** The time constant of the decay; at usual rates it covers some hundred requests. */
    static constexpr std::chrono::milliseconds decayTime{1000};

    /** Records an arriving request and its expected service time. */
    void recordArrival(int rank, std::chrono::nanoseconds serviceTime,
                       core::timing::MonotonicTime now);

    /** Returns the offered load of all ranks below this one, in permits. */
    double loadBelow(int rank, core::timing::MonotonicTime now) const;

private:
    static std::size_t indexOf(int rank);
    double decay(core::timing::MonotonicTime now) const;

    // The decaying sum of service times of each rank, in seconds, as of updatedAt_.
    std::array<double, rankCount> sums_{};
    core::timing::MonotonicTime updatedAt_{};
};

} // namespace boragetrack::traffic::admission
