/** The budget of repeats. */
#pragma once

#include "core/timing/MonotonicTime.h"
#include "traffic/retry/RetryLimits.h"

#include <array>
#include <cstdint>

namespace boragetrack::traffic::retry {

/** Bounds the repeats of one service within a sliding window by a part of its calls. */
class RetryBudget
{
public:
    /** The default reserve. */
    static constexpr double capacity = RetryLimits{}.reserve;

    explicit RetryBudget(std::chrono::milliseconds window)
        : window_(window)
    {}

    /** Notes a first attempt. */
    void earn(core::timing::MonotonicTime now);

    /** Spends one repeat. @param part repeats allowed for each first attempt
        @param reserve repeats allowed besides @returns false when the budget is used up */
    bool spend(double part, double reserve, core::timing::MonotonicTime now);

private:
    static constexpr std::size_t sliceCount = 10;

    // The attempts of one tenth of a window.
    struct Slice
    {
        std::int64_t number = -1;
        double firsts = 0.0;
        double repeats = 0.0;
    };

    Slice &sliceAt(core::timing::MonotonicTime now);

    std::chrono::milliseconds window_;
    // One more than fits the window: the slice under way is not whole yet.
    std::array<Slice, sliceCount + 1> slices_{};
};

} // namespace boragetrack::traffic::retry
