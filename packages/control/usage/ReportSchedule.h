/** Decision of which window is reported next, and when. */
#pragma once

#include "control/usage/UsageCollector.h"
#include "control/usage/UsageSettings.h"

#include <optional>
#include <vector>

namespace boragetrack::control::usage {

/** Selects the window after the last reported one, and waits for the counts of all members. */
class ReportSchedule
{
public:
    /** The window to report now. */
    struct Selection
    {
        UsageWindow window;
        /** The members whose final counts are missing. */
        std::vector<core::identity::NodeId> missing;
    };

    /** How long counts are waited for after the window before was recorded or the duty was gained.
        Nodes learn the holder within two seconds and send once a second, and send a window after
        the eighth only once they know the first as reported. */
    static constexpr std::chrono::milliseconds minimumWait{3000};

    explicit ReportSchedule(const UsageSettings &settings)
        : settings_(settings)
    {}

    /** Returns the window to report next, whether or not it is due; nothing if there is none.
        @param reported the last reported window; zero if none is */
    std::optional<UsageWindow> nextWindow(const UsageCollector &collector, UsageWindow reported,
                                          core::timing::WallTime now) const;

    /** Returns the next window if all counts of it are known or the wait for them has ended.
        @param waited the time since the window before was recorded or the duty was gained */
    std::optional<Selection> select(const UsageCollector &collector, UsageWindow reported,
                                    const std::vector<DutyHolder> &members,
                                    std::chrono::nanoseconds waited,
                                    core::timing::WallTime now) const;

private:
    const UsageSettings settings_;
};

} // namespace boragetrack::control::usage
