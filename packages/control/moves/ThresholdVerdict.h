/** The baseline verdict: a fixed failure threshold. */
#pragma once

#include "control/moves/VerdictPolicy.h"

namespace boragetrack::control::moves {

/** Calls a version bad once a fixed part of all its calls failed; serves as the baseline. */
class ThresholdVerdict : public VerdictPolicy
{
public:
    void observeOldVersion(const EvidenceKey &key, const EvidenceCounts &delta) override;
    void observeNewVersion(const EvidenceKey &key, const EvidenceCounts &delta) override;
    std::optional<std::string> regressionEvidence() const override;
    bool hasSufficientEvidence(const core::identity::RouteName &route) const override;
    std::string summary() const override;

private:
    std::uint64_t calls_ = 0;
    std::uint64_t failures_ = 0;
};

} // namespace boragetrack::control::moves
