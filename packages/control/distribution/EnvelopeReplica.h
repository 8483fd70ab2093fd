/** The native form of the intent: one document with a revision, validated as a whole. */
#pragma once

#include "control/distribution/IntentReplica.h"
#include "control/intent/IntentEnvelope.h"
#include "core/findings/FindingList.h"

#include <deque>
#include <memory>
#include <optional>

namespace boragetrack::control::distribution {

/** Holds the newest valid envelope and a few previous ones for patches. The revision never
    decreases. */
class EnvelopeReplica : public IntentReplica
{
public:
    /** Validates an envelope as a whole and stores it if it is newer than the held one. */
    OfferResult offer(const std::string &text) override;

    /** Returns the held revision; zero before the first intent. */
    core::identity::Revision revision() const override;

    /** Returns the held, validated document; empty before the first intent. */
    const intent::IntentDocument &document() const override { return document_; }

    /** Returns the change that created the held revision. */
    const intent::ChangeRecord &change() const { return change_; }

    /** Returns the newest refused revision; zero if none was refused. */
    core::identity::Revision refusedRevision() const override { return refusedRevision_; }

    /** Returns the findings of the last refusal. */
    const std::string &refusal() const override { return refusal_; }

    /** Returns a patch from revision @p have if that revision is still held and the patch is
        shorter; the whole envelope otherwise. */
    IntentTransfer transferSince(core::identity::Revision have) const override;

    /** Returns the envelope's text, or nothing if the patch's base is not the held revision or the
        hash does not match. */
    std::optional<std::string> unpack(const IntentTransfer &transfer) const override;

private:
    struct Version
    {
        core::identity::Revision revision;
        nlohmann::json json;
        std::string text;
    };

    OfferResult refuse(core::identity::Revision revision, std::string findings);

    // Invariant: revisions increase from front to back; the back is the held one.
    std::deque<Version> versions_;
    intent::IntentDocument document_;
    intent::ChangeRecord change_;
    core::identity::Revision refusedRevision_;
    std::string refusal_;
};

} // namespace boragetrack::control::distribution
