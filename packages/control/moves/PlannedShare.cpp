/** Implements PlannedShare. */
#include "control/moves/PlannedShare.h"

#include <algorithm>
#include <cmath>

namespace boragetrack::control::moves {

namespace {

constexpr double riseStart = 0.35;
constexpr double riseStartWithoutEvidence = 0.60;
constexpr double riseEnd = 0.85;

} // namespace

double PlannedShare::sharePercent(double elapsed, bool isSufficient) const
{
    if (elapsed < 0.0)
        return 0.0;
    const double start = isSufficient ? riseStart : riseStartWithoutEvidence;
    const double progress = std::clamp((elapsed - start) / (riseEnd - start), 0.0, 1.0);
    return trialPercent * std::pow(100.0 / trialPercent, progress);
}

} // namespace boragetrack::control::moves
