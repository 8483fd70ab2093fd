/** A window that is missing in a snapshot taken after its end has no counts and gets none. */
#include "control/usage/SnapshotMark.h"

#include "control/usage/UsageCollector.h"

#include <algorithm>
#include <utility>

namespace boragetrack::control::usage {

void SnapshotMark::apply(UsageSnapshot &snapshot, std::chrono::nanoseconds leaseNow,
                         core::timing::WallTime wallNow, std::chrono::milliseconds period)
{
    const auto lastAt = std::exchange(lastAt_, leaseNow);
    const bool mayBeOld = !lastAt || leaseNow - *lastAt > maximumGap;
    if (mayBeOld || snapshot.windows.size() >= UsageCollector::maximumWindows)
        return;
    const std::uint64_t current = UsageWindow::at(wallNow - finalDelay, period).number();
    if (current == 0)
        return;
    const UsageWindow finished(current - 1);
    const auto place
            = std::find_if(snapshot.windows.begin(), snapshot.windows.end(),
                           [&](const WindowCounts &counted) { return counted.window >= finished; });
    if (place == snapshot.windows.end() || place->window != finished)
        snapshot.windows.insert(place, WindowCounts{finished, {}, true});
}

} // namespace boragetrack::control::usage
