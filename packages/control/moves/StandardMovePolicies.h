/** The move policies that are used by default. */
#pragma once

#include "control/moves/ExponentialShare.h"
#include "control/moves/MovePolicies.h"
#include "control/moves/SequentialVerdict.h"

namespace boragetrack::control::moves {

/** Creates sequential verdicts and a share that grows exponentially. */
class StandardMovePolicies : public MovePolicies
{
public:
    std::unique_ptr<VerdictPolicy> makeVerdictPolicy() const override
    {
        return std::make_unique<SequentialVerdict>();
    }
    const SharePolicy &sharePolicy() const override { return share_; }

private:
    ExponentialShare share_;
};

} // namespace boragetrack::control::moves
