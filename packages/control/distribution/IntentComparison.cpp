/** The operators may return to a lower number, so a node's report replaces its earlier ones. */
#include "control/distribution/IntentComparison.h"

#include <algorithm>

namespace boragetrack::control::distribution {

using core::identity::IntentNumber;
using core::identity::NodeId;
using core::timing::MonotonicTime;

void IntentComparison::recordInForce(IntentNumber number)
{
    inForce_ = number;
    std::erase_if(later_, [&](const LaterIntent &intent) { return intent.number <= number; });
}

void IntentComparison::recordReport(const NodeId &node, IntentNumber number, MonotonicTime now)
{
    if (number == IntentNumber{})
        return;
    std::erase_if(later_, [&](const LaterIntent &intent) {
        return intent.reportedBy == node && intent.number > number;
    });
    // Without an intent of its own, a node has just started and lacks everything.
    if (inForce_ == IntentNumber{} || number <= inForce_)
        return;
    const bool isKnown = std::any_of(later_.begin(), later_.end(), [&](const LaterIntent &intent) {
        return intent.number == number;
    });
    if (!isKnown && later_.size() < maximumLaterIntents)
        later_.push_back({number, node, now});
}

std::optional<LaterIntent> IntentComparison::overdueAt(MonotonicTime now) const
{
    std::optional<LaterIntent> overdue;
    for (const LaterIntent &intent : later_) {
        const bool isOverdue = now - intent.knownSince >= toleratedDelay;
        if (isOverdue && (!overdue || intent.number > overdue->number))
            overdue = intent;
    }
    return overdue;
}

} // namespace boragetrack::control::distribution
