/** The intent that a node holds, in whatever form it is stored. */
#pragma once

#include "control/distribution/IntentTransfer.h"
#include "control/distribution/OfferResult.h"
#include "control/intent/IntentDocument.h"

#include <optional>
#include <string>

namespace boragetrack::control::distribution {

/** Holds the newest valid intent and never goes back to an older one. */
class IntentReplica
{
public:
    virtual ~IntentReplica() = default;

    /** Takes what a peer or the platform sent if it is newer and valid. */
    virtual OfferResult offer(const std::string &text) = 0;

    /** Returns the held revision; zero before the first intent. */
    virtual core::identity::Revision revision() const = 0;

    /** Returns the revision of the last change of what the held intent says; at most revision(). */
    virtual core::identity::Revision contentRevision() const { return revision(); }

    /** Returns the held, validated document; empty before the first intent. */
    virtual const intent::IntentDocument &document() const = 0;

    /** Returns the newest revision that was refused; zero when none was. */
    virtual core::identity::Revision refusedRevision() const = 0;

    /** Returns the findings for the refused revision. */
    virtual const std::string &refusal() const = 0;

    /** Returns what a node that holds an earlier revision needs. */
    virtual IntentTransfer transferSince(core::identity::Revision have) const = 0;

    /** Returns the text to offer, or nothing when the transfer builds on what is not held. */
    virtual std::optional<std::string> unpack(const IntentTransfer &transfer) const = 0;
};

} // namespace boragetrack::control::distribution
