/** The work that arrives for an upstream. */
#pragma once

#include "core/timing/MonotonicTime.h"

#include <array>
#include <chrono>

namespace boragetrack::traffic::admission {

/** Measures the work of each rank that arrives in a second, as a fading sum. */
class OfferedLoad
{
public:
    /** Ranks that are told apart; higher ones count as the last. */
    static constexpr std::size_t rankCount = 4;
    /** The time in which earlier arrivals fade to about a third: some hundred requests decide. */
    static constexpr std::chrono::milliseconds fadingTime{1000};

    /** Notes an arrival. */
    void note(int rank, std::chrono::nanoseconds work, core::timing::MonotonicTime now);

    /** Returns the work of all lower ranks that arrives for each unit of time. */
    double rateBelow(int rank, core::timing::MonotonicTime now) const;

private:
    static std::size_t indexOf(int rank);
    double fading(core::timing::MonotonicTime now) const;

    // Seconds of work within about the fading time, as of updatedAt_.
    std::array<double, rankCount> work_{};
    core::timing::MonotonicTime updatedAt_{};
};

} // namespace boragetrack::traffic::admission
