/** Exponentially decaying sums of service time, updated on each arrival. */
#include "traffic/admission/OfferedLoad.h"

#include <algorithm>
#include <cmath>

namespace boragetrack::traffic::admission {

using core::timing::MonotonicTime;
using Seconds = std::chrono::duration<double>;

void OfferedLoad::recordArrival(int rank, std::chrono::nanoseconds serviceTime, MonotonicTime now)
{
    const double factor = decay(now);
    for (double &sum : sums_)
        sum *= factor;
    updatedAt_ = std::max(updatedAt_, now);
    sums_[indexOf(rank)] += Seconds(serviceTime).count();
}

double OfferedLoad::loadBelow(int rank, MonotonicTime now) const
{
    double sum = 0.0;
    for (std::size_t index = 0; index < indexOf(rank); ++index)
        sum += sums_[index];
    return sum * decay(now) / Seconds(decayTime).count();
}

std::size_t OfferedLoad::indexOf(int rank)
{
    return static_cast<std::size_t>(std::clamp(rank, 0, static_cast<int>(rankCount) - 1));
}

double OfferedLoad::decay(MonotonicTime now) const
{
    const Seconds elapsed = std::max(now - updatedAt_, MonotonicTime::duration::zero());
    return std::exp(-elapsed / Seconds(decayTime));
}

} // namespace boragetrack::traffic::admission
