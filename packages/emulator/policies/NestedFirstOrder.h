/** The order of the queue that serves nested calls before all new requests. */
#pragma once

#include "traffic/admission/UrgencyOrder.h"

namespace boragetrack::emulator::policies {

/** Differs from UrgencyOrder only in the position of nested calls, for comparison. */
class NestedFirstOrder : public traffic::admission::UrgencyOrder
{
public:
    traffic::admission::QueuePosition positionOf(const traffic::admission::WaitingRequest &request,
                                                 core::timing::MonotonicTime now) const override
    {
        auto position = UrgencyOrder::positionOf(request, now);
        position.tier = request.arrival.isNested() ? 0 : position.tier + 1;
        return position;
    }
};

} // namespace boragetrack::emulator::policies
