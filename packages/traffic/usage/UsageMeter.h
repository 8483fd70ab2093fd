/** Counting of the requests of callers' organisations. */
#pragma once

#include "control/usage/WindowCounts.h"

#include <chrono>
#include <map>
#include <vector>

namespace boragetrack::traffic::usage {

/**
    Counts the requests that begin to run, by organisation and window of the wall clock.

    A window is listed from the start of the process or the last reported window on, also without
    any request: otherwise the receiver of the counts could not tell a window without requests from
    one whose counts have not arrived. Used on the traffic thread only.
*/
class UsageMeter
{
public:
    using UsageWindow = control::usage::UsageWindow;

    /** How long after its end a window's counts may change, as a request that the upstream did not
        run is withdrawn. No request lasts longer. */
    static constexpr std::chrono::milliseconds settlingTime{2500};
    /** How long counts are kept without being reported. */
    static constexpr std::chrono::seconds retentionTime{60};
    /** The maximum number of windows in one snapshot; the oldest come first. */
    static constexpr std::size_t maximumWindows = 8;

    /** @param period the length of all windows, above 0
        @param now the time from which on this meter counts */
    UsageMeter(std::chrono::milliseconds period, core::timing::WallTime now);

    /** Counts a request that begins to run. @returns the window that it was counted in, which is
        not one whose counts are final already */
    UsageWindow begin(const core::identity::OrganisationName &organisation,
                      core::timing::WallTime now);

    /** Takes back a counted request that did not run; does nothing once the counts of its window
        are final. @param window as returned by begin() */
    void withdraw(const core::identity::OrganisationName &organisation, UsageWindow window);

    /** Returns the counts of the oldest windows that are not reported, up to the present one. */
    std::vector<control::usage::WindowCounts> snapshot(core::timing::WallTime now);

    /** Makes the counts of all windows final, as no further request begins to run; a request that
        begins nevertheless counts in a later window. @returns the snapshot */
    std::vector<control::usage::WindowCounts> finalSnapshot(core::timing::WallTime now);

    /** Forgets the windows up to one, as they were reported. */
    void forgetThrough(UsageWindow reported);

    /** Removes and returns the windows whose counts were dropped without being reported. */
    std::vector<UsageWindow> takeDropped();

private:
    void dropOldWindows(core::timing::WallTime now);
    std::vector<control::usage::WindowCounts> windowsThrough(UsageWindow last) const;

    std::chrono::milliseconds period_;
    // The first window that is listed.
    UsageWindow first_;
    // The counts of this window and of all earlier ones do not change any more.
    UsageWindow finalThrough_;
    // Invariant: has no window before first_.
    std::map<UsageWindow, control::usage::UsageCounts> counts_;
    std::vector<UsageWindow> dropped_;
};

} // namespace boragetrack::traffic::usage
