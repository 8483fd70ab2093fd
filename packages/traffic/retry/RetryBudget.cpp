/** Counts attempts in a ring of slices, each a tenth of the window; a slice is reset when the ring
    comes round to it. */
#include "traffic/retry/RetryBudget.h"

namespace boragetrack::traffic::retry {

using core::timing::MonotonicTime;

void RetryBudget::earn(MonotonicTime now)
{
    sliceAt(now).firstAttempts += 1.0;
}

bool RetryBudget::spend(double fraction, double reserve, MonotonicTime now)
{
    Slice &present = sliceAt(now);
    double firstAttempts = 0.0;
    double retries = 0.0;
    for (const Slice &slice : slices_) {
        if (present.number - slice.number > static_cast<std::int64_t>(sliceCount))
            continue;
        firstAttempts += slice.firstAttempts;
        retries += slice.retries;
    }
    if (retries + 1.0 > firstAttempts * fraction + reserve)
        return false;
    present.retries += 1.0;
    return true;
}

RetryBudget::Slice &RetryBudget::sliceAt(MonotonicTime now)
{
    const auto length = window_ / sliceCount;
    const auto number = static_cast<std::int64_t>(now.time_since_epoch() / length);
    Slice &slice = slices_[static_cast<std::size_t>(number) % slices_.size()];
    if (slice.number != number)
        slice = Slice{number, 0.0, 0.0};
    return slice;
}

} // namespace boragetrack::traffic::retry
