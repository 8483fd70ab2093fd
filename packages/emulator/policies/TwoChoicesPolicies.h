/** Policies that differ from the standard ones only in their routing. */
#pragma once

#include "emulator/policies/StandardPolicies.h"
#include "traffic/routing/TwoChoicesRouting.h"

namespace boragetrack::emulator::policies {

/** Routing to the less loaded of two endpoints, for comparison with the standard routing. */
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
