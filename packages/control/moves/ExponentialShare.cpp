/** Interpolates exponentially between the initial share and 100 percent. */
#include "control/moves/ExponentialShare.h"

#include <algorithm>
#include <cmath>

namespace boragetrack::control::moves {

namespace {

// Fractions of the time between the start and the end of a move.
constexpr double growthStart = 0.35;
constexpr double growthStartWithoutEvidence = 0.60;
constexpr double growthEnd = 0.85;

} // namespace

double ExponentialShare::sharePercent(double elapsedFraction, bool hasSufficientEvidence) const
{
    if (elapsedFraction < 0.0)
        return 0.0;
    const double start = hasSufficientEvidence ? growthStart : growthStartWithoutEvidence;
    const double progress = std::clamp((elapsedFraction - start) / (growthEnd - start), 0.0, 1.0);
    return initialPercent * std::pow(100.0 / initialPercent, progress);
}

} // namespace boragetrack::control::moves
