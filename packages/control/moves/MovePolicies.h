/** Makes the policies that moves run by. */
#pragma once

#include "control/moves/SharePolicy.h"
#include "control/moves/VerdictPolicy.h"

#include <memory>

namespace boragetrack::control::moves {

/** Makes the policy objects of a move. */
class MovePolicies
{
public:
    virtual ~MovePolicies() = default;

    /** Returns a verdict policy without any evidence yet. */
    virtual std::unique_ptr<VerdictPolicy> makeVerdictPolicy() const = 0;

    /** Returns the share plan. */
    virtual const SharePolicy &sharePolicy() const = 0;
};

} // namespace boragetrack::control::moves
