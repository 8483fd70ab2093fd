/** Judges a new version by the evidence. */
#pragma once

#include "control/moves/EvidenceCounts.h"
#include "control/moves/EvidenceKey.h"

#include <optional>
#include <string>

namespace boragetrack::control::moves {

/** Tells bad versions from good ones; each move has a policy object of its own. */
class VerdictPolicy
{
public:
    virtual ~VerdictPolicy() = default;

    /** Takes further outcomes of the old version. */
    virtual void observeOldVersion(const EvidenceKey &key, const EvidenceCounts &delta) = 0;

    /** Takes further outcomes of the new version. */
    virtual void observeNewVersion(const EvidenceKey &key, const EvidenceCounts &delta) = 0;

    /** Returns the evidence in plain words once the new version is bad. */
    virtual std::optional<std::string> regressionEvidence() const = 0;

    /** Returns whether enough good outcomes were seen on a route to give it more traffic. */
    virtual bool hasSufficientEvidence(const core::identity::RouteName &route) const = 0;

    /** Returns all outcomes so far in plain words. */
    virtual std::string summary() const = 0;
};

} // namespace boragetrack::control::moves
