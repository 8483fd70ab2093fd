/** Marks in a snapshot how far the counts of its process are final. */
#pragma once

#include "control/usage/UsageSnapshot.h"

#include <optional>

namespace boragetrack::control::usage {

/** Adds the newest window that is final to snapshots that lack it, as an empty one. Without it the
    holder could not tell a process without requests from one that it has not heard from. */
class SnapshotMark
{
public:
    /** How long after its end a window is final; no request takes longer. */
    static constexpr std::chrono::milliseconds finalDelay{2500};
    /** The longest time between two snapshots after which a mark is added. A snapshot may have
        waited for a paused thread and be older than it seems. */
    static constexpr std::chrono::milliseconds maximumGap{2000};

    /** Adds the mark, unless the snapshot may be old or holds only the first of its windows.
        @param leaseNow the time on a clock that goes on during pauses
        @param period the length of a window */
    void apply(UsageSnapshot &snapshot, std::chrono::nanoseconds leaseNow,
               core::timing::WallTime wallNow, std::chrono::milliseconds period);

private:
    std::optional<std::chrono::nanoseconds> lastAt_;
};

} // namespace boragetrack::control::usage
