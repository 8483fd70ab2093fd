/** Windows without requests have no entry in the map; snapshots list them all the same. */
#include "traffic/usage/UsageMeter.h"

#include <algorithm>
#include <utility>

namespace boragetrack::traffic::usage {

using control::usage::UsageWindow;
using control::usage::WindowCounts;
using core::identity::OrganisationName;
using core::timing::WallTime;

UsageMeter::UsageMeter(std::chrono::milliseconds period, WallTime now)
    : period_(period)
    , first_(UsageWindow::at(now, period))
{}

// The wall clock may be set back into a window whose counts were passed on as final or were
// reported.
UsageWindow UsageMeter::begin(const OrganisationName &organisation, WallTime now)
{
    const UsageWindow window
            = std::max({UsageWindow::at(now, period_), finalThrough_.next(), first_});
    ++counts_[window][organisation];
    return window;
}

void UsageMeter::withdraw(const OrganisationName &organisation, UsageWindow window)
{
    const auto counts = counts_.find(window);
    if (window <= finalThrough_ || counts == counts_.end())
        return;
    const auto count = counts->second.find(organisation);
    if (count != counts->second.end() && --count->second == 0)
        counts->second.erase(count);
}

std::vector<WindowCounts> UsageMeter::snapshot(WallTime now)
{
    const UsageWindow settling = UsageWindow::at(now - settlingTime, period_);
    if (settling.number() > 0)
        finalThrough_ = std::max(finalThrough_, UsageWindow(settling.number() - 1));
    dropOldWindows(now);
    return windowsThrough(UsageWindow::at(now, period_));
}

std::vector<WindowCounts> UsageMeter::finalSnapshot(WallTime now)
{
    finalThrough_ = std::max(finalThrough_, UsageWindow::at(now, period_));
    if (!counts_.empty())
        finalThrough_ = std::max(finalThrough_, counts_.rbegin()->first);
    return windowsThrough(finalThrough_);
}

void UsageMeter::forgetThrough(UsageWindow reported)
{
    first_ = std::max(first_, reported.next());
    counts_.erase(counts_.begin(), counts_.lower_bound(first_));
}

std::vector<UsageWindow> UsageMeter::takeDropped()
{
    return std::exchange(dropped_, {});
}

void UsageMeter::dropOldWindows(WallTime now)
{
    const UsageWindow oldest = UsageWindow::at(now - retentionTime, period_);
    if (oldest <= first_)
        return;
    for (auto it = counts_.begin(); it != counts_.end() && it->first < oldest; ++it) {
        if (!it->second.empty())
            dropped_.push_back(it->first);
    }
    forgetThrough(UsageWindow(oldest.number() - 1));
}

std::vector<WindowCounts> UsageMeter::windowsThrough(UsageWindow last) const
{
    std::vector<WindowCounts> windows;
    for (UsageWindow window = first_; window <= last && windows.size() < maximumWindows;
         window = window.next()) {
        const auto counts = counts_.find(window);
        windows.push_back({window,
                           counts == counts_.end() ? control::usage::UsageCounts{} : counts->second,
                           window <= finalThrough_});
    }
    return windows;
}

} // namespace boragetrack::traffic::usage
