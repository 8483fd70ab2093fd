/** Implements OfferedLoad. */
#include "traffic/admission/OfferedLoad.h"

#include <algorithm>
#include <cmath>

namespace boragetrack::traffic::admission {

using core::timing::MonotonicTime;
using Seconds = std::chrono::duration<double>;

void OfferedLoad::note(int rank, std::chrono::nanoseconds work, MonotonicTime now)
{
    const double factor = fading(now);
    for (double &held : work_)
        held *= factor;
    updatedAt_ = std::max(updatedAt_, now);
    work_[indexOf(rank)] += Seconds(work).count();
}

double OfferedLoad::rateBelow(int rank, MonotonicTime now) const
{
    double work = 0.0;
    for (std::size_t index = 0; index < indexOf(rank); ++index)
        work += work_[index];
    return work * fading(now) / Seconds(fadingTime).count();
}

std::size_t OfferedLoad::indexOf(int rank)
{
    return static_cast<std::size_t>(std::clamp(rank, 0, static_cast<int>(rankCount) - 1));
}

double OfferedLoad::fading(MonotonicTime now) const
{
    const Seconds passed = std::max(now - updatedAt_, MonotonicTime::duration::zero());
    return std::exp(-passed / Seconds(fadingTime));
}

} // namespace boragetrack::traffic::admission
