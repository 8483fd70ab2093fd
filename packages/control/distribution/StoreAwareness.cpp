/** A response covers this node only as far as the node holds what its sender held. */
#include "control/distribution/StoreAwareness.h"

#include <algorithm>

namespace boragetrack::control::distribution {

using core::identity::Revision;
using std::chrono::milliseconds;

void StoreAwareness::setFollowing(bool isFollowing)
{
    hasStore_ = true;
    isFollowing_ = isFollowing;
}

void StoreAwareness::recordHeld(Revision held, const ChangeSource &source)
{
    changes_.recordHeld(held, source, timers_.now(), provenBefore_);
    held_ = std::max(held_, held);
    role_.recordRevision(held);
    contact_.recordRevision(held);
    proof_.recordRevision(held);
}

// Only responses count as contacts: how long a request was on its way is not known.
void StoreAwareness::recordResponse(const Exchange &response)
{
    const core::timing::MonotonicTime askedAt = timers_.now() - response.roundTrip;
    const bool isAhead = response.revision > held_;
    if (response.isFollower && isAhead)
        role_.recordResponseAhead(response.sender, response.revision, askedAt);
    else
        role_.recordResponse(response.sender, response.isFollower, askedAt);
    if (!response.storeContactAge)
        return;
    contact_.recordPeer(response.revision, timers_.now() - *response.storeContactAge, held_);
    const core::timing::MonotonicTime arrivedAt = response.arrivedAt.value_or(timers_.now());
    proof_.recordPeer(response.revision, arrivedAt - *response.storeContactAge, held_);
}

void StoreAwareness::recordReport(const core::identity::NodeId &node, Revision revision,
                                  std::optional<milliseconds> age)
{
    changes_.recordReport(node, revision, age, timers_.now());
    reported_ = std::max(reported_, revision);
}

std::optional<milliseconds> StoreAwareness::contactAge() const
{
    const auto last = contact_.last();
    if (!last)
        return std::nullopt;
    return std::chrono::ceil<milliseconds>(timers_.now() - *last);
}

StoreKnowledge StoreAwareness::knowledge() const
{
    StoreKnowledge knowledge;
    knowledge.held = held_;
    knowledge.reported = reported_;
    knowledge.isFollowing = isFollowing_;
    knowledge.isSelected = role_.isSelected();
    knowledge.coveredBy = role_.coveredBy();
    if (const auto coverage = role_.lastCoverage())
        knowledge.coverageAge = std::chrono::ceil<milliseconds>(timers_.now() - *coverage);
    knowledge.contactAge = contactAge();
    knowledge.updatedBy = changes_.arrival().source;
    return knowledge;
}

} // namespace boragetrack::control::distribution
