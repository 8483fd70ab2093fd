/** Interface to the rules by which ranks and objectives order the queue. */
#pragma once

#include "traffic/admission/QueuePosition.h"
#include "traffic/admission/WaitingRequest.h"

namespace boragetrack::traffic::admission {

/** Decides which of two requests runs first and which one gives way. Stateless. */
class QueueOrder
{
public:
    virtual ~QueueOrder() = default;

    /** Returns the position of a request. Positions change with time. */
    virtual QueuePosition positionOf(const WaitingRequest &request,
                                     core::timing::MonotonicTime now) const = 0;

    /** Returns whether an arriving request displaces a waiting one if the queue is full. */
    virtual bool displacesFromFullQueue(const WaitingRequest &arriving,
                                        const WaitingRequest &waiting,
                                        core::timing::MonotonicTime now) const = 0;

    /** Returns whether an arriving request that will miss its objective displaces a waiting one if
        too many late requests wait. */
    virtual bool displacesAsLate(const WaitingRequest &arriving,
                                 const WaitingRequest &waiting) const = 0;
};

} // namespace boragetrack::traffic::admission
