/** The order of the queue that serves urgent requests first. */
#pragma once

#include "traffic/admission/QueueOrder.h"

namespace boragetrack::traffic::admission {

/**
    Runs lower ranks first, but spends the time that urgent requests can spare on others.

    Load addressed: more requests than the upstream can take, of kinds that differ in urgency. A
    nested call has the rank of the request that makes it. The tiers of the order, in each of which
    lower ranks go first and, at equal ranks, nested calls:
    - requests that probably miss their objective unless they run now;
    - other nested calls, whose parents keep a permit until they end, and late requests that
      probably miss their deadline unless they run now;
    - requests that meet their objective also if they run later;
    - late requests that meet their deadline also if they run later.

    An arriving request displaces less urgent ones; a new one displaces no nested call, which would
    waste what its parent already did.
*/
class UrgencyOrder : public QueueOrder
{
public:
    QueuePosition positionOf(const WaitingRequest &request,
                             core::timing::MonotonicTime now) const override;
    bool displacesFromFullQueue(const WaitingRequest &arriving, const WaitingRequest &waiting,
                                core::timing::MonotonicTime now) const override;
    bool displacesAsLate(const WaitingRequest &arriving,
                         const WaitingRequest &waiting) const override;

private:
    static bool isMoreUrgent(const WaitingRequest &arriving, const WaitingRequest &waiting);
};

} // namespace boragetrack::traffic::admission
