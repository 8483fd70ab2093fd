/** Implements ExponentialShare. */
#include "control/moves/ExponentialShare.h"

#include <algorithm>
#include <cmath>

namespace boragetrack::control::moves {

namespace {

constexpr double riseStart = 0.35;
constexpr double riseStartWithoutEvidence = 0.60;
constexpr double riseEnd = 0.85;

} // namespace

double ExponentialShare::sharePercent(double elapsed, bool hasSufficientEvidence) const
{
    if (elapsed < 0.0)
        return 0.0;
    const double start = hasSufficientEvidence ? riseStart : riseStartWithoutEvidence;
    const double progress = std::clamp((elapsed - start) / (riseEnd - start), 0.0, 1.0);
    return initialPercent * std::pow(100.0 / initialPercent, progress);
}

} // namespace boragetrack::control::moves
