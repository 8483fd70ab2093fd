/** Implements RetryBudget. */
#include "traffic/retry/RetryBudget.h"

namespace boragetrack::traffic::retry {

using core::timing::MonotonicTime;

void RetryBudget::earn(MonotonicTime now)
{
    sliceAt(now).firsts += 1.0;
}

bool RetryBudget::spend(double part, double reserve, MonotonicTime now)
{
    Slice &present = sliceAt(now);
    double firsts = 0.0;
    double repeats = 0.0;
    for (const Slice &slice : slices_) {
        if (present.number - slice.number > static_cast<std::int64_t>(sliceCount))
            continue;
        firsts += slice.firsts;
        repeats += slice.repeats;
    }
    if (repeats + 1.0 > firsts * part + reserve)
        return false;
    present.repeats += 1.0;
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
