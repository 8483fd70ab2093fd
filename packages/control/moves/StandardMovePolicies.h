/** The policies of moves as shipped. */
#pragma once

#include "control/moves/ExponentialShare.h"
#include "control/moves/MovePolicies.h"
#include "control/moves/SequentialVerdict.h"

namespace boragetrack::control::moves {

/** Makes sequential verdicts under the planned share. */
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
