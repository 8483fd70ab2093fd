/** A node's copy of the intent, independent of how the platform stores it. */
#pragma once

#include "control/distribution/IntentTransfer.h"
#include "control/distribution/OfferResult.h"
#include "control/intent/IntentDocument.h"

#include <optional>
#include <string>

namespace boragetrack::control::distribution {

/** Holds the newest valid intent; the revision never decreases. */
class IntentReplica
{
public:
    virtual ~IntentReplica() = default;

    /** Parses and stores a text from a peer or the platform if it is newer and valid. */
    virtual OfferResult offer(const std::string &text) = 0;

    /** Returns the held revision; zero before the first intent. */
    virtual core::identity::Revision revision() const = 0;

    /** Returns the revision of the last change to the document itself, which a confirmation without
        changes does not raise. */
    virtual core::identity::Revision contentRevision() const { return revision(); }

    /** Returns the held, validated document; empty before the first intent. */
    virtual const intent::IntentDocument &document() const = 0;

    /** Returns the newest refused revision; zero if none was refused. */
    virtual core::identity::Revision refusedRevision() const = 0;

    /** Returns the findings of the last refusal. */
    virtual const std::string &refusal() const = 0;

    /** Returns the transfer for a node that holds revision @p have. */
    virtual IntentTransfer transferSince(core::identity::Revision have) const = 0;

    /** Returns the text for offer(), or nothing if the transfer's base is missing here or its hash
        does not match. */
    virtual std::optional<std::string> unpack(const IntentTransfer &transfer) const = 0;
};

} // namespace boragetrack::control::distribution
