/** Implements ThresholdVerdict. */
#include "control/moves/ThresholdVerdict.h"

namespace boragetrack::control::moves {

namespace {
constexpr std::uint64_t minimumCalls = 20;
constexpr std::uint64_t failurePercent = 20;
} // namespace

void ThresholdVerdict::observeOldVersion(const EvidenceKey & /*key*/,
                                         const EvidenceCounts & /*delta*/)
{}

void ThresholdVerdict::observeNewVersion(const EvidenceKey & /*key*/, const EvidenceCounts &delta)
{
    calls_ += delta.calls;
    failures_ += delta.failures + delta.broken;
}

std::optional<std::string> ThresholdVerdict::regressionEvidence() const
{
    if (calls_ < minimumCalls || failures_ * 100 < calls_ * failurePercent)
        return std::nullopt;
    return summary();
}

bool ThresholdVerdict::hasSufficientEvidence(const core::identity::RouteName & /*route*/) const
{
    return true;
}

std::string ThresholdVerdict::summary() const
{
    return std::to_string(failures_) + " of " + std::to_string(calls_) + " calls failed";
}

} // namespace boragetrack::control::moves
