/** Exponentially decaying sums of service time, one for each organisation. */
#include "traffic/admission/OrganisationDemand.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace boragetrack::traffic::admission {

using core::timing::MonotonicTime;
using Seconds = std::chrono::duration<double>;

namespace {

// An organisation without arrivals for this time has a demand of less than 1 in 20,000 of its
// former one.
constexpr std::chrono::seconds idleTime{10};

} // namespace

double OrganisationDemand::Sum::at(MonotonicTime now) const
{
    const Seconds elapsed = std::max(now - updatedAt, MonotonicTime::duration::zero());
    return seconds * std::exp(-elapsed / Seconds(decayTime));
}

void OrganisationDemand::recordArrival(const Name &name, std::chrono::nanoseconds serviceTime,
                                       MonotonicTime now)
{
    forgetIdle(now);
    Sum &sum = sums_[name];
    sum.seconds = sum.at(now) + Seconds(serviceTime).count();
    sum.updatedAt = std::max(sum.updatedAt, now);
}

double OrganisationDemand::of(const Name &name, MonotonicTime now) const
{
    const auto found = sums_.find(name);
    return found == sums_.end() ? 0.0 : found->second.at(now) / Seconds(decayTime).count();
}

double OrganisationDemand::fairShare(int permits, MonotonicTime now) const
{
    if (sums_.size() < 2)
        return std::numeric_limits<double>::infinity();
    std::vector<double> demands;
    demands.reserve(sums_.size());
    for (const auto &[name, sum] : sums_)
        demands.push_back(sum.at(now) / Seconds(decayTime).count());
    std::sort(demands.begin(), demands.end());
    double left = std::max(permits, 1);
    std::size_t organisations = demands.size();
    for (const double demand : demands) {
        const double share = left / static_cast<double>(organisations);
        if (demand > share)
            return share;
        left -= demand;
        --organisations;
    }
    return std::numeric_limits<double>::infinity();
}

void OrganisationDemand::forgetIdle(MonotonicTime now)
{
    if (now - forgottenAt_ < idleTime)
        return;
    forgottenAt_ = now;
    std::erase_if(sums_,
                  [&](const auto &entry) { return now - entry.second.updatedAt > idleTime; });
}

} // namespace boragetrack::traffic::admission
