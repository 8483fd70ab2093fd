/** Compares positions at one moment; ties go to the earlier arrival. */
#include "traffic/admission/QueueSelection.h"

#include <cmath>

namespace boragetrack::traffic::admission {

namespace {

// Before all tiers of orders, which are not negative.
constexpr int protectedTier = -1;

} // namespace

bool QueueSelection::State::isWithinShare(
        const core::identity::OrganisationName &organisation) const
{
    return std::isfinite(fairShare) && !isBeyondShare(organisation);
}

bool QueueSelection::State::isBeyondShare(
        const core::identity::OrganisationName &organisation) const
{
    return demand.of(organisation, now) > fairShare;
}

std::size_t QueueSelection::nextToRun(const State &state) const
{
    std::size_t next = 0;
    QueuePosition first = positionOf(state.waiting[0], state);
    for (std::size_t i = 1; i < state.waiting.size(); ++i) {
        const QueuePosition position = positionOf(state.waiting[i], state);
        if (position < first) {
            first = position;
            next = i;
        }
    }
    return next;
}

std::optional<std::size_t> QueueSelection::displacedBy(const WaitingRequest &arriving,
                                                       const State &state, Shortage shortage) const
{
    std::optional<std::size_t> byOrder;
    std::optional<std::size_t> byShare;
    const auto runsLater = [&](std::size_t candidate, const std::optional<std::size_t> &other) {
        return !other
               || positionOf(state.waiting[*other], state)
                          <= positionOf(state.waiting[candidate], state);
    };
    for (std::size_t i = 0; i < state.waiting.size(); ++i) {
        if (displacesByOrder(arriving, state.waiting[i], state, shortage) && runsLater(i, byOrder))
            byOrder = i;
        if (displacesByShare(arriving, state.waiting[i], state) && runsLater(i, byShare))
            byShare = i;
    }
    return byOrder ? byOrder : byShare;
}

// Within one rank, the organisation with the fewest requests goes first. A request of an
// organisation within its share goes before all others as soon as waiting costs it something:
// otherwise the load of others would make it late or refuse it, whatever its rank.
QueuePosition QueueSelection::positionOf(const WaitingRequest &request, const State &state) const
{
    QueuePosition position = order_->positionOf(request, state.now);
    if (!state.organisations.isShared())
        return position;
    const auto &organisation = request.arrival.organisation;
    const bool canWait = request.isInTime(state.now) && !request.isPressing(state.now);
    if (!canWait && state.isWithinShare(organisation))
        position.tier = protectedTier;
    position.organisationRequests = state.organisations.requests(organisation);
    return position;
}

bool QueueSelection::displacesByOrder(const WaitingRequest &arriving, const WaitingRequest &waiting,
                                      const State &state, Shortage shortage) const
{
    const auto &own = arriving.arrival.organisation;
    const auto &other = waiting.arrival.organisation;
    const bool isProtected
            = own != other && state.isWithinShare(other) && !state.isWithinShare(own);
    if (isProtected)
        return false;
    return shortage == Shortage::QueueFull
                   ? order_->displacesFromFullQueue(arriving, waiting, state.now)
                   : order_->displacesAsLate(arriving, waiting);
}

// Returns whether the waiting request belongs to the organisation with the most requests. A more
// urgent one does not give way to an organisation beyond its share.
bool QueueSelection::displacesByShare(const WaitingRequest &arriving, const WaitingRequest &waiting,
                                      const State &state) const
{
    // What its parent has done already would be wasted.
    if (waiting.arrival.isNested() && !arriving.arrival.isNested())
        return false;
    const OrganisationLoad &organisations = state.organisations;
    const auto &own = arriving.arrival.organisation;
    const auto &other = waiting.arrival.organisation;
    const std::size_t requests = organisations.requests(other);
    if (requests < organisations.highestWithWaiting()
        || requests <= organisations.requests(own) + 1)
        return false;
    return !state.isBeyondShare(own) || arriving.arrival.urgency() <= waiting.arrival.urgency();
}

} // namespace boragetrack::traffic::admission
