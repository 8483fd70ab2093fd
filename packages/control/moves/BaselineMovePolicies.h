/** The baseline policies that measurements compare with. */
#pragma once

#include "control/moves/MovePolicies.h"
#include "control/moves/SteppedShare.h"
#include "control/moves/ThresholdVerdict.h"

namespace boragetrack::control::moves {

/** Makes threshold verdicts under three timed steps. */
class BaselineMovePolicies : public MovePolicies
{
public:
    std::unique_ptr<VerdictPolicy> makeVerdictPolicy() const override
    {
        return std::make_unique<ThresholdVerdict>();
    }
    const SharePolicy &sharePolicy() const override { return share_; }

private:
    SteppedShare share_;
};

} // namespace boragetrack::control::moves
