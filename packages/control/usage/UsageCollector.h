/** The unreported counts that a node knows. */
#pragma once

#include "control/usage/DutyHolder.h"
#include "control/usage/UsageSnapshot.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace boragetrack::control::usage {

/**
    Merges the snapshots of processes and keeps those of processes that ended, until their windows
    are reported.

    Its memory is bounded by the number of windows of each process and by the age of windows.
*/
class UsageCollector
{
public:
    /** The number of windows that are taken from one snapshot. */
    static constexpr std::size_t maximumWindows = 8;
    /** How long after its end an unreported window is kept. */
    static constexpr std::chrono::seconds retention{60};
    /** A process that sent nothing for this long may have ended; processes send once a second. */
    static constexpr std::chrono::milliseconds silentTime{2500};

    /** @param period the length of a window */
    explicit UsageCollector(std::chrono::milliseconds period)
        : period_(period)
    {}

    /** Merges a snapshot, unless a later one of the same process is known. */
    void take(const UsageSnapshot &snapshot, core::timing::WallTime now);

    /** Forgets the counts up to a reported window, and takes none of them from now on. */
    void forgetThrough(UsageWindow reported);

    /** Drops the windows that are older than the retention. @returns the dropped windows that had
        counts, each at most once */
    std::vector<UsageWindow> dropExpired(core::timing::WallTime now);

    /** Returns the sum of the counts of all processes in a window. */
    UsageCounts countsOf(UsageWindow window) const;

    /** Returns the members whose counts of a window may still change. */
    std::vector<core::identity::NodeId>
    membersPending(UsageWindow window, const std::vector<DutyHolder> &members) const;

    /** Returns the first window with counts, if there is one. */
    std::optional<UsageWindow> firstCounted() const;

    /** Returns the first window that is kept at a time. */
    UsageWindow firstKept(core::timing::WallTime now) const;

    /** Returns the number of windows with counts that have ended. */
    std::size_t endedWindows(core::timing::WallTime now) const;

    /** Returns the snapshots with counts of other processes that may have ended: they are not
        members, or have been silent for a while. Members that ended are known as such only after
        seconds, when a window may have been reported without them. */
    std::vector<UsageSnapshot> snapshotsOfSilent(const DutyHolder &self,
                                                 const std::vector<DutyHolder> &members,
                                                 core::timing::WallTime now) const;

private:
    /** The last snapshot of a process. */
    struct Entry
    {
        UsageSnapshot snapshot;
        core::timing::WallTime takenAt;
    };

    using Process = std::pair<core::identity::NodeId, std::uint64_t>;

    static bool isFinal(const UsageSnapshot &snapshot, UsageWindow window);

    const std::chrono::milliseconds period_;
    std::map<Process, Entry> entries_;
    UsageWindow reported_;
    // The last window of which a drop was returned.
    UsageWindow dropped_;
};

} // namespace boragetrack::control::usage
