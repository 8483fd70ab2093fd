/** Keeps all delays, as the quantiles are exact. */
#include "restarts/ChangeDelayTable.h"

#include <algorithm>

namespace boragetrack::bench::restarts {

using emulator::restarts::ChangeDelay;
using std::chrono::milliseconds;

namespace {

std::string groupOf(const ChangeDelay &change)
{
    switch (change.disturbances.size()) {
    case 0:
        return "none";
    case 1:
        return nameOf(change.disturbances.front());
    case 2:
        return "two disturbances";
    default:
        return "more disturbances";
    }
}

std::int64_t quantile(const std::vector<milliseconds> &sorted, std::size_t percent)
{
    return sorted[(sorted.size() - 1) * percent / 100].count();
}

} // namespace

void ChangeDelayTable::add(const ChangeDelay &change)
{
    delays_[groupOf(change)].push_back(change.delay);
}

nlohmann::json ChangeDelayTable::toJson() const
{
    nlohmann::json result = nlohmann::json::object();
    for (const auto &[group, delays] : delays_) {
        std::vector<milliseconds> sorted = delays;
        std::sort(sorted.begin(), sorted.end());
        result[group] = {{"count", sorted.size()},
                         {"p50", quantile(sorted, 50)},
                         {"p90", quantile(sorted, 90)},
                         {"p99", quantile(sorted, 99)},
                         {"max", sorted.back().count()}};
    }
    return result;
}

} // namespace boragetrack::bench::restarts
