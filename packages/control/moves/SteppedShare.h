/** The baseline schedule of a new version's share. */
#pragma once

#include "control/moves/SharePolicy.h"

namespace boragetrack::control::moves {

/** Returns 10, 50 and 100 percent for a third of the time each, regardless of the evidence. */
class SteppedShare : public SharePolicy
{
public:
    double sharePercent(double elapsedFraction, bool /*hasSufficientEvidence*/) const override
    {
        if (elapsedFraction < 0.0)
            return 0.0;
        if (elapsedFraction < 1.0 / 3.0)
            return 10.0;
        return elapsedFraction < 2.0 / 3.0 ? 50.0 : 100.0;
    }
};

} // namespace boragetrack::control::moves
