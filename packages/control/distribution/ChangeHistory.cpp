/** Of several missing changes only the earliest report is kept: all of them are missing since then.
 */
#include "control/distribution/ChangeHistory.h"

#include <algorithm>

namespace boragetrack::control::distribution {

using core::identity::NodeId;
using core::identity::Revision;
using core::timing::MonotonicTime;
using std::chrono::milliseconds;

void ChangeHistory::recordReport(const NodeId &node, Revision revision,
                                 std::optional<milliseconds> age, MonotonicTime now)
{
    // Without a revision of its own, a node has just started and lacks everything.
    if (revision <= arrival_.revision || arrival_.revision == Revision{})
        return;
    const MonotonicTime since = now - age.value_or(milliseconds::zero());
    if (!missing_)
        missing_ = MissingChange{revision, node, since};
    missing_->knownSince = std::min(missing_->knownSince, since);
}

void ChangeHistory::recordHeld(Revision revision, const ChangeSource &source, MonotonicTime now,
                               std::optional<MonotonicTime> provenBefore)
{
    if (revision <= arrival_.revision)
        return;
    arrival_ = ChangeArrival{revision, source, now, missing_ ? missing_->knownSince : now,
                             provenBefore};
    // A report of a later revision than this one says nothing of when that was known.
    if (missing_ && missing_->revision <= revision)
        missing_.reset();
}

std::optional<milliseconds> ChangeHistory::age(MonotonicTime now) const
{
    if (arrival_.revision == Revision{})
        return std::nullopt;
    return std::chrono::duration_cast<milliseconds>(now - arrival_.arrivedAt);
}

} // namespace boragetrack::control::distribution
