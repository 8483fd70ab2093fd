/** The standard schedule of a new version's share. */
#pragma once

#include "control/moves/SharePolicy.h"

namespace boragetrack::control::moves {

/** Keeps the share small first and then lets it grow exponentially to 100 percent. On a route
    without sufficient evidence the growth starts later and is faster, so that every move ends on
    time. */
class ExponentialShare : public SharePolicy
{
public:
    /** The share that a version gets before the growth starts, in percent. */
    static constexpr double initialPercent = 4.0;

    double sharePercent(double elapsedFraction, bool hasSufficientEvidence) const override;
};

} // namespace boragetrack::control::moves
