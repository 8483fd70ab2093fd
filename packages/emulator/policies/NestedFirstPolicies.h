/** Policies that differ from those that put urgent requests first in the rank of nested calls. */
#pragma once

#include "emulator/policies/NestedFirstOrder.h"
#include "emulator/policies/UrgencyPolicies.h"

namespace boragetrack::emulator::policies {

/** Nested calls are more urgent than all new requests, for comparison with inherited ranks. */
class NestedFirstPolicies : public UrgencyPolicies
{
public:
    std::string name() const override { return "urgency-first, nested calls first"; }
    std::unique_ptr<traffic::admission::QueueOrder> makeQueueOrder() const override
    {
        return std::make_unique<NestedFirstOrder>();
    }
    traffic::admission::Arrival adjustArrival(traffic::admission::Arrival arrival) const override
    {
        arrival.parentRank = 0;
        return arrival;
    }
};

} // namespace boragetrack::emulator::policies
