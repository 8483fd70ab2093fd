/** The tiers were compared with bench-load, see docs/design/admission.md. */
#include "traffic/admission/UrgencyOrder.h"

namespace boragetrack::traffic::admission {

using core::timing::MonotonicTime;

namespace {

int tierOf(const WaitingRequest &request, MonotonicTime now)
{
    if (request.isPressing(now))
        return 0;
    if (request.arrival.isNested() || request.isLastChance(now))
        return 1;
    return request.isInTime(now) ? 2 : 3;
}

} // namespace

QueuePosition UrgencyOrder::positionOf(const WaitingRequest &request, MonotonicTime now) const
{
    return {tierOf(request, now), request.arrival.urgency(), !request.arrival.isNested()};
}

bool UrgencyOrder::displacesFromFullQueue(const WaitingRequest &arriving,
                                          const WaitingRequest &waiting,
                                          MonotonicTime /*now*/) const
{
    const bool isEqual = arriving.arrival.urgency() == waiting.arrival.urgency();
    const bool isNestedBeforeNew = arriving.arrival.isNested() && !waiting.arrival.isNested();
    return isMoreUrgent(arriving, waiting) || (isEqual && isNestedBeforeNew);
}

bool UrgencyOrder::displacesAsLate(const WaitingRequest &arriving,
                                   const WaitingRequest &waiting) const
{
    return isMoreUrgent(arriving, waiting);
}

bool UrgencyOrder::isMoreUrgent(const WaitingRequest &arriving, const WaitingRequest &waiting)
{
    const bool isNewBeforeNested = !arriving.arrival.isNested() && waiting.arrival.isNested();
    return !isNewBeforeNested && arriving.arrival.urgency() < waiting.arrival.urgency();
}

} // namespace boragetrack::traffic::admission
