/** The policies that nodes used before routing by the chance of an answer on time. */
#pragma once

#include "emulator/policies/PresentPolicies.h"
#include "traffic/routing/TwoChoicesRouting.h"

namespace boragetrack::emulator::policies {

/** The present policies but for routing, which takes the less loaded of two endpoints. */
class FormerPolicies : public PresentPolicies
{
public:
    std::string name() const override { return "two-choices"; }
    std::unique_ptr<traffic::routing::RoutingPolicy> makeRouting() const override
    {
        return std::make_unique<traffic::routing::TwoChoicesRouting>();
    }
};

} // namespace boragetrack::emulator::policies
