/** The baseline share plan: three steps on a timer. */
#pragma once

#include "control/moves/SharePolicy.h"

namespace boragetrack::control::moves {

/** Gives 10, 50 and 100 percent for a third of the time each; serves as the baseline. */
class SteppedShare : public SharePolicy
{
public:
    double sharePercent(double elapsed, bool /*hasSufficientEvidence*/) const override
    {
        if (elapsed < 0.0)
            return 0.0;
        if (elapsed < 1.0 / 3.0)
            return 10.0;
        return elapsed < 2.0 / 3.0 ? 50.0 : 100.0;
    }
};

} // namespace boragetrack::control::moves
