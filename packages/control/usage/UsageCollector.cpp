/** A process whose windows are all forgotten is remembered for the retention, so that a snapshot
    that arrives late does not restore older counts. */
#include "control/usage/UsageCollector.h"

#include <algorithm>
#include <set>

namespace boragetrack::control::usage {

using core::identity::NodeId;
using core::timing::WallTime;

void UsageCollector::take(const UsageSnapshot &snapshot, WallTime now)
{
    const auto [it, isNew] = entries_.try_emplace(Process(snapshot.node, snapshot.generation));
    Entry &entry = it->second;
    if (!isNew && snapshot.sequence <= entry.snapshot.sequence)
        return;
    entry.takenAt = now;
    entry.snapshot = UsageSnapshot{snapshot.node, snapshot.generation, snapshot.sequence, {}};
    const UsageWindow oldest = firstKept(now);
    // Windows that have not begun by this node's clock, beyond the next one, come from a wrong
    // clock; they would delay all reports until then.
    const UsageWindow newest = UsageWindow::at(now, period_).next();
    for (const WindowCounts &window : snapshot.windows) {
        const bool isWanted
                = window.window > reported_ && window.window >= oldest && window.window <= newest;
        if (isWanted && entry.snapshot.windows.size() < maximumWindows)
            entry.snapshot.windows.push_back(window);
    }
}

void UsageCollector::forgetThrough(UsageWindow reported)
{
    if (reported <= reported_)
        return;
    reported_ = reported;
    for (auto &[process, entry] : entries_) {
        std::erase_if(entry.snapshot.windows,
                      [&](const WindowCounts &window) { return window.window <= reported; });
    }
}

std::vector<UsageWindow> UsageCollector::dropExpired(WallTime now)
{
    const UsageWindow oldest = firstKept(now);
    std::set<UsageWindow> dropped;
    for (auto &[process, entry] : entries_) {
        std::erase_if(entry.snapshot.windows, [&](const WindowCounts &window) {
            if (window.window >= oldest)
                return false;
            if (!window.counts.empty() && window.window > dropped_)
                dropped.insert(window.window);
            return true;
        });
    }
    std::erase_if(entries_, [&](const auto &item) {
        return item.second.snapshot.windows.empty() && now - item.second.takenAt > retention;
    });
    if (!dropped.empty())
        dropped_ = *dropped.rbegin();
    return {dropped.begin(), dropped.end()};
}

UsageCounts UsageCollector::countsOf(UsageWindow window) const
{
    UsageCounts sum;
    for (const auto &[process, entry] : entries_) {
        for (const WindowCounts &counted : entry.snapshot.windows) {
            if (counted.window != window)
                continue;
            for (const auto &[organisation, number] : counted.counts) {
                if (number != 0)
                    sum[organisation] += number;
            }
        }
    }
    return sum;
}

std::vector<NodeId> UsageCollector::membersPending(UsageWindow window,
                                                   const std::vector<DutyHolder> &members) const
{
    std::vector<NodeId> pending;
    for (const DutyHolder &member : members) {
        const auto found = entries_.find(Process(member.node, member.generation));
        if (found == entries_.end() || !isFinal(found->second.snapshot, window))
            pending.push_back(member.node);
    }
    return pending;
}

std::optional<UsageWindow> UsageCollector::firstCounted() const
{
    std::optional<UsageWindow> first;
    for (const auto &[process, entry] : entries_) {
        for (const WindowCounts &window : entry.snapshot.windows) {
            if (!window.counts.empty() && (!first || window.window < *first))
                first = window.window;
        }
    }
    return first;
}

UsageWindow UsageCollector::firstKept(WallTime now) const
{
    return UsageWindow::at(std::max(now - retention, WallTime{}), period_);
}

std::size_t UsageCollector::endedWindows(WallTime now) const
{
    std::set<UsageWindow> ended;
    for (const auto &[process, entry] : entries_) {
        for (const WindowCounts &window : entry.snapshot.windows) {
            if (!window.counts.empty() && window.window.endsAt(period_) <= now)
                ended.insert(window.window);
        }
    }
    return ended.size();
}

std::vector<UsageSnapshot> UsageCollector::snapshotsOfSilent(const DutyHolder &self,
                                                             const std::vector<DutyHolder> &members,
                                                             WallTime now) const
{
    std::set<Process> live;
    for (const DutyHolder &member : members)
        live.emplace(member.node, member.generation);
    std::vector<UsageSnapshot> snapshots;
    for (const auto &[process, entry] : entries_) {
        const auto &windows = entry.snapshot.windows;
        const bool hasCounts
                = std::any_of(windows.begin(), windows.end(),
                              [](const WindowCounts &window) { return !window.counts.empty(); });
        const bool isActive = live.contains(process) && now - entry.takenAt <= silentTime;
        if (hasCounts && !isActive && process != Process(self.node, self.generation))
            snapshots.push_back(entry.snapshot);
    }
    return snapshots;
}

// Windows become final in order, so a missing window before a final one has no counts.
bool UsageCollector::isFinal(const UsageSnapshot &snapshot, UsageWindow window)
{
    bool hasLaterFinal = false;
    for (const WindowCounts &counted : snapshot.windows) {
        if (counted.window == window)
            return counted.isFinal;
        hasLaterFinal = hasLaterFinal || (counted.window > window && counted.isFinal);
    }
    return hasLaterFinal;
}

} // namespace boragetrack::control::usage
