/** A node's memory of when changes were known elsewhere and when they came here. */
#pragma once

#include "control/distribution/ChangeArrival.h"
#include "control/distribution/MissingChange.h"

#include <chrono>
#include <optional>

namespace boragetrack::control::distribution {

/**
    Compares what other nodes report to hold with what this node holds, so that it notices by itself
    that a change came late or is missing.

    The times are those of this node's clock: a report carries the age of the reported revision. The
    way of a message is not counted, so that a change may have come later than it seems, but never
    earlier.
*/
class ChangeHistory
{
public:
    /** Records that another node reported the revision that it holds.
        @param age how long that node has held it; nothing if it did not tell */
    void recordReport(const core::identity::NodeId &node, core::identity::Revision revision,
                      std::optional<std::chrono::milliseconds> age,
                      core::timing::MonotonicTime now);

    /** Records the revision that this node holds; does nothing unless it is later than before.
        @param provenBefore the last contact with the store before the changes came */
    void recordHeld(core::identity::Revision revision, const ChangeSource &source,
                    core::timing::MonotonicTime now,
                    std::optional<core::timing::MonotonicTime> provenBefore = std::nullopt);

    /** Returns how the latest changes came. */
    const ChangeArrival &arrival() const { return arrival_; }

    /** Returns the change that was reported first of those that this node lacks. */
    const std::optional<MissingChange> &missing() const { return missing_; }

    /** Returns the time since this node has held its revision; nothing before it held one. */
    std::optional<std::chrono::milliseconds> age(core::timing::MonotonicTime now) const;

private:
    ChangeArrival arrival_;
    // Invariant: above arrival_.revision.
    std::optional<MissingChange> missing_;
};

} // namespace boragetrack::control::distribution
