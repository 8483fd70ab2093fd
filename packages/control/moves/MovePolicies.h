/** Selection of the algorithms that decide about moves. */
#pragma once

#include "control/moves/SharePolicy.h"
#include "control/moves/VerdictPolicy.h"

#include <memory>

namespace boragetrack::control::moves {

/** Creates a verdict policy for each move and provides the share policy of all moves. */
class MovePolicies
{
public:
    virtual ~MovePolicies() = default;

    /** Returns a new verdict policy without evidence. */
    virtual std::unique_ptr<VerdictPolicy> makeVerdictPolicy() const = 0;

    /** Returns the share policy, which lives as long as this object. */
    virtual const SharePolicy &sharePolicy() const = 0;
};

} // namespace boragetrack::control::moves
