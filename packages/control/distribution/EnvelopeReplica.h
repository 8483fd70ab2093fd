/** The intent as one envelope. */
#pragma once

#include "control/distribution/IntentReplica.h"
#include "control/intent/IntentEnvelope.h"
#include "core/findings/FindingList.h"

#include <deque>
#include <memory>
#include <optional>

namespace boragetrack::control::distribution {

/** Holds the newest valid intent and the few before it; never goes back to an older one. */
class EnvelopeReplica : public IntentReplica
{
public:
    /** Takes an envelope if it is newer and valid as a whole. */
    OfferResult offer(const std::string &text) override;

    /** Returns the held revision; zero before the first intent. */
    core::identity::Revision revision() const override;

    /** Returns the held, validated document; empty before the first intent. */
    const intent::IntentDocument &document() const override { return document_; }

    /** Returns the change that made the held intent. */
    const intent::ChangeRecord &change() const { return change_; }

    /** Returns the newest revision that was refused; zero when none was. */
    core::identity::Revision refusedRevision() const override { return refusedRevision_; }

    /** Returns the findings for the refused revision. */
    const std::string &refusal() const override { return refusal_; }

    /** Returns the held intent for a node that holds an earlier revision: a patch when the earlier
        one is still known here and the patch is shorter. */
    IntentTransfer transferSince(core::identity::Revision have) const override;

    /** Returns the envelope's text, or nothing when the patch's base is not held. */
    std::optional<std::string> unpack(const IntentTransfer &transfer) const override;

private:
    struct Version
    {
        core::identity::Revision revision;
        nlohmann::json json;
        std::string text;
    };

    OfferResult refuse(core::identity::Revision revision, std::string findings);

    // Invariant: revisions rise from front to back; the back is the held one.
    std::deque<Version> versions_;
    intent::IntentDocument document_;
    intent::ChangeRecord change_;
    core::identity::Revision refusedRevision_;
    std::string refusal_;
};

} // namespace boragetrack::control::distribution
