/** The share plan of moves. */
#pragma once

#include "control/moves/SharePolicy.h"

namespace boragetrack::control::moves {

/** Holds the share small until evidence suffices, then doubles it steadily; a route without enough
    evidence waits longer and rises faster, so that every move ends on time. */
class ExponentialShare : public SharePolicy
{
public:
    /** The share, in percent, that a version gets before it has proved itself. */
    static constexpr double initialPercent = 4.0;

    double sharePercent(double elapsed, bool hasSufficientEvidence) const override;
};

} // namespace boragetrack::control::moves
