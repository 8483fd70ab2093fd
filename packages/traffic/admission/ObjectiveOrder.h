/** The order of the queue that prefers requests within their objectives. */
#pragma once

#include "traffic/admission/QueueOrder.h"

namespace boragetrack::traffic::admission {

/** Runs nested calls first, then requests that can still meet their objective, then lower ranks.
    Load addressed: more requests than the upstream can take, of which some can no longer meet their
    objective. */
class ObjectiveOrder : public QueueOrder
{
public:
    QueuePosition positionOf(const WaitingRequest &request,
                             core::timing::MonotonicTime now) const override
    {
        // The request that makes a nested call keeps its permit until that call ends, late or not.
        const int first = request.arrival.isNested() ? 0 : 2;
        const int tier = request.isInTime(now) ? first : first + 1;
        return {tier, request.arrival.rank, !request.arrival.isNested()};
    }

    /** Nested calls displace requests that run later: refusing one because the queue is full of new
       requests would waste what its parent already did. Other requests displace none, since a
       displaced request would have waited in vain, whereas the arriving one is refused immediately,
       with a retry time. */
    bool displacesFromFullQueue(const WaitingRequest &arriving, const WaitingRequest &waiting,
                                core::timing::MonotonicTime now) const override
    {
        return arriving.arrival.isNested() && positionOf(arriving, now) < positionOf(waiting, now);
    }

    bool displacesAsLate(const WaitingRequest & /*arriving*/,
                         const WaitingRequest & /*waiting*/) const override
    {
        return false;
    }
};

} // namespace boragetrack::traffic::admission
