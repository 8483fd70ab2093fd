/** Interface of the evaluation of a new version. */
#pragma once

#include "control/moves/EvidenceCounts.h"
#include "control/moves/EvidenceKey.h"

#include <optional>
#include <string>

namespace boragetrack::control::moves {

/** Detects bad versions from the evidence; there is one policy object for each move. */
class VerdictPolicy
{
public:
    virtual ~VerdictPolicy() = default;

    /** Records further outcomes of the old version.
        @param delta the increase since the last call for this key */
    virtual void observeOldVersion(const EvidenceKey &key, const EvidenceCounts &delta) = 0;

    /** Records further outcomes of the new version.
        @param delta the increase since the last call for this key */
    virtual void observeNewVersion(const EvidenceKey &key, const EvidenceCounts &delta) = 0;

    /** Returns a description of the evidence if it shows that the new version is bad. */
    virtual std::optional<std::string> regressionEvidence() const = 0;

    /** Returns whether enough good outcomes were recorded on a route to increase the share. */
    virtual bool hasSufficientEvidence(const core::identity::RouteName &route) const = 0;

    /** Returns a description of all outcomes so far. */
    virtual std::string summary() const = 0;
};

} // namespace boragetrack::control::moves
