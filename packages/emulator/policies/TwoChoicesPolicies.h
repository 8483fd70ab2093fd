/** Policies with two-choices routing, the routing that on-time routing replaced in nodes. */
#pragma once

#include "emulator/policies/StandardPolicies.h"
#include "traffic/routing/TwoChoicesRouting.h"

namespace boragetrack::emulator::policies {

/** The standard policies, but with routing to the less loaded of two endpoints. Serves as a
   comparison for the standard routing. */
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
