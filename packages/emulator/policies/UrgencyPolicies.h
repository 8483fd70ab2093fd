/** Policies of a daemon whose settings put urgent requests first. */
#pragma once

#include "emulator/policies/StandardPolicies.h"
#include "traffic/admission/UrgencyOrder.h"

namespace boragetrack::emulator::policies {

/** The standard policies with the setting urgencyFirst. */
class UrgencyPolicies : public StandardPolicies
{
public:
    std::string name() const override { return "urgency-first"; }
    std::unique_ptr<traffic::admission::QueueOrder> makeQueueOrder() const override
    {
        return std::make_unique<traffic::admission::UrgencyOrder>();
    }
};

} // namespace boragetrack::emulator::policies
