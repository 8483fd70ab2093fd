/** The policies that nodes used before routing by the chance of an answer on time. */
#pragma once

#include "emulator/policies/StandardPolicies.h"
#include "traffic/routing/TwoChoicesRouting.h"

namespace boragetrack::emulator::policies {

/** The present policies but for routing, which takes the less loaded of two endpoints. */
class TwoChoicesPolicies : public StandardPolicies
{
public:
    std::string name() const override { return "two-choices"; }
    std::unique_ptr<traffic::routing::RoutingPolicy> makeRouting() const override
    {
        return std::make_unique<traffic::routing::TwoChoicesRouting>();
    }
};

} // namespace boragetrack::emulator::policies
