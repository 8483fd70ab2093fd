/** The retry budget of one service. */
#pragma once

#include "core/timing/MonotonicTime.h"
#include "traffic/retry/RetryLimits.h"

#include <array>
#include <cstdint>

namespace boragetrack::traffic::retry {

/** Limits the retries in a sliding window to a fraction of first attempts plus a reserve. */
class RetryBudget
{
public:
    /** The reserve by default, in retries per window. */
    static constexpr double defaultReserve = RetryLimits{}.reserve;

    explicit RetryBudget(std::chrono::milliseconds window)
        : window_(window)
    {}

    /** Records a first attempt, which adds to the budget. */
    void earn(core::timing::MonotonicTime now);

    /** Takes one retry from the budget. @param fraction retries allowed per first attempt
        @param reserve retries allowed in addition @returns false when the budget is used up */
    bool spend(double fraction, double reserve, core::timing::MonotonicTime now);

private:
    static constexpr std::size_t sliceCount = 10;

    // The attempts in one tenth of a window.
    struct Slice
    {
        std::int64_t number = -1;
        double firstAttempts = 0.0;
        double retries = 0.0;
    };

    Slice &sliceAt(core::timing::MonotonicTime now);

    std::chrono::milliseconds window_;
    // One slice more than the window has, since the current slice is incomplete.
    std::array<Slice, sliceCount + 1> slices_{};
};

} // namespace boragetrack::traffic::retry
