/** The budget of repeats. */
#pragma once

#include <algorithm>
#include <mutex>

namespace boragetrack::traffic::retry {

/** Earns a part of a repeat with each call, so that repeats never exceed that part of all calls
    for long; shared by all traffic threads. */
class RetryBudget
{
public:
    /** Repeats that may be saved up. */
    static constexpr double capacity = 50.0;

    /** Earns from one call. */
    void earn(int percent)
    {
        const std::lock_guard lock(mutex_);
        available_ = std::min(capacity, available_ + percent / 100.0);
    }

    /** Spends one repeat. @returns false when the budget is used up */
    bool spend()
    {
        const std::lock_guard lock(mutex_);
        if (available_ < 1.0)
            return false;
        available_ -= 1.0;
        return true;
    }

private:
    std::mutex mutex_;
    // Invariant: between zero and capacity.
    double available_ = capacity;
};

} // namespace boragetrack::traffic::retry
